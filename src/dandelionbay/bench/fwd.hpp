#pragma once

namespace dandelionbay::bench {

struct arrival;
struct bench_options;
struct engine_outage;
struct second_of_service;
struct queue_model_options;
struct region_sample;
struct scenario;

class balancer;
class engine_times;
class fleet_disturbance;
class fair_queue;
class fairness_meter;
class load_generator;
class recorder;
class split_meter;

} // namespace dandelionbay::bench
