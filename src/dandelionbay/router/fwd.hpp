#pragma once

namespace dandelionbay {

struct router_settings;
struct accepted_request;
struct send_message;
struct answer_head;
struct answer_data;
struct answer_end;
class router_core;

} // namespace dandelionbay
