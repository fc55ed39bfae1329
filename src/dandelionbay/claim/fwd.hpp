#pragma once

namespace dandelionbay {

struct claim_request;
struct stored_answer;
struct claim_decision;
class claim_guard;
class claim_handle;
struct claim_owner;
struct claim_row;
struct claim_verdict;
class claim_machine;
class settlement_machine;
struct claim_settings;
class claim_service;
struct lease_settings;
class lease_holder;
class fencing_gate;

} // namespace dandelionbay
