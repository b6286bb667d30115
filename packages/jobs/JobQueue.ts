import type { ServiceName } from './ServiceName';

/** Policy of a queue, as configured when a job was accepted. */
export interface JobQueue {
  readonly name: string;
  readonly service: ServiceName;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Runs of one task that may fail before its job fails. */
  readonly attempts: number;
  /** Factor on the critical path of estimated work in the latency objective. */
  readonly stretch: number;
  /** Constant part of the latency objective. */
  readonly targetLatencyMs: number;
  /** Present when steps may only run on endpoints that the advice service has approved. */
  readonly advice?: AdviceTimings;
}

interface AdviceTimings {
  /** Duration of one call. */
  readonly decisionMs: number;
  /** Additional duration for each endpoint in the call. */
  readonly perEndpointMs: number;
  /** Validity of a ticket. */
  readonly validityMs: number;
}
