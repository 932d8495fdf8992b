// Converts the library's messages to Thrift structs and back.
#pragma once

#include "gen/PeerService.h"
#include "sequoiapier/configurationmessages.h"
#include "sequoiapier/event.h"
#include "sequoiapier/loangrant.h"
#include "sequoiapier/loanreport.h"

namespace sequoiapier {

api::HybridTimestamp toWire(HybridTime time);
HybridTime fromWire(const api::HybridTimestamp &time);

api::PollMessage toWire(const ConfigurationPoll &poll);
ConfigurationPoll fromWire(const api::PollMessage &poll);

api::ReportMessage toWire(const ConfigurationReport &report);
ConfigurationReport fromWire(const api::ReportMessage &report);

api::WithdrawalMessage toWire(const WithdrawalNotice &notice);
WithdrawalNotice fromWire(const api::WithdrawalMessage &notice);

api::LoanReportMessage toWire(const LoanReport &report);
LoanReport fromWire(const api::LoanReportMessage &report);

api::LoanGrantMessage toWire(const LoanGrant &grant);
LoanGrant fromWire(const api::LoanGrantMessage &grant);

} // namespace sequoiapier
