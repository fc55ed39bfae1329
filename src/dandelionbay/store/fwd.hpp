#pragma once

namespace dandelionbay {

struct table_row;
class table_store;
struct socket_address;
struct host_entry;
class host_list;
class table_map;

} // namespace dandelionbay
