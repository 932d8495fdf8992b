// The platform's services that this project calls, as Thrift messages over HTTP POST.
namespace cpp sequoiapier.api

struct PlatformRow {
  1: string key
  2: binary value
  3: i64 version  // increases with every write of the row
}

struct PlatformWrite {
  1: string key
  2: optional binary value  // absent: the row is removed
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

// Transactional table. A commit applies all of its writes or none.
service TableService {
  list<PlatformRow> read(1: string key)  // returns one row or none
  list<PlatformRow> scan(1: string prefix)
  PlatformCommitAnswer commit(1: string writeId, 2: list<PlatformWrite> writes)
}
