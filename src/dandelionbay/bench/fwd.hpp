#pragma once

namespace dandelionbay::bench {

struct arrival;
struct bench_options;
struct scenario;

class fairness_meter;
class latency_histogram;
class load_generator;
class recorder;

} // namespace dandelionbay::bench
