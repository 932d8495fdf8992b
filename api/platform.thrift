// The platform services as this project calls them: Thrift messages over HTTP POST.
namespace cpp sequoiapier.api

struct PlatformRow {
  1: string key
  2: binary value
  3: i64 version  // grows with every write of the row
}

struct PlatformWrite {
  1: string key
  2: optional binary value  // absent: remove the row
  3: i64 baseVersion        // 0: the row must not exist
}

enum PlatformCommitOutcome {
  COMMITTED = 1
  CONFLICT = 2
  NOT_COMMITTED = 3
}

struct PlatformCommitAnswer {
  1: PlatformCommitOutcome outcome
  2: list<i64> versions
}

// Transactional table: a commit is all or nothing.
service TableService {
  list<PlatformRow> read(1: string key)  // no row or one
  list<PlatformRow> scan(1: string prefix)
  PlatformCommitAnswer commit(1: string writeId, 2: list<PlatformWrite> writes)
}
