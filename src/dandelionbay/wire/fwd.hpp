#pragma once

namespace dandelionbay {

struct hello;
struct heartbeat;
struct demand;
struct grant;
struct recall;
struct returned;
struct submit;
struct rejected;
struct head;
struct chunk;
struct finish;
struct cancel;
struct resume;
struct suspicion;
struct ledger_rows;
struct config_query;
struct config_document;
struct decoded_frame;
class frame_decoder;
class frame_encoder;
class frame_sizer;
struct link_context;

} // namespace dandelionbay
