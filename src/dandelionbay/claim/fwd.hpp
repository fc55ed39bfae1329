#pragma once

namespace dandelionbay {

struct claim_request;
struct stored_answer;
struct claim_decision;
class claim_guard;
class claim_handle;

} // namespace dandelionbay
