// What operators call, by Thrift over HTTP POST to /operator on any controller.
namespace cpp sequoiapier.api

// Every change states the version it was made from and an operation identifier. A call repeated
// with the same identifier returns the first outcome.
struct ChangeRequest {
  1: string operationId
  2: i64 baseVersion
  3: string document  // the new configuration, JSON as in docs/OPERATIONS.md
}

struct ChangeAnswer {
  1: i32 code          // docs/RESULT_CODES.md: 200 committed, 201 conflict, ...
  2: string detail
  3: i64 version       // of the configuration now in the table, 0 if not known
}

struct ConfigurationAnswer {
  1: i32 code
  2: string detail
  3: i64 version
  4: string document
}

service OperatorService {
  ConfigurationAnswer configuration()
  ChangeAnswer change(1: ChangeRequest request)
}
