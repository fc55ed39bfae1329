#pragma once

namespace dandelionbay {

struct table_row;
class table_store;

struct host_entry;
class host_list;
class table_map;
class http_table_store;
class http_host_list;
struct store_call;
class memory_table_store;

} // namespace dandelionbay
