/** A result is useful to its caller up to this multiple of the latency objective. */
const USEFUL_LATENCY_FACTOR = 3;

/** Computes the latency up to which the result of a job is useful to its caller, from its objective; both in milliseconds. */
export const computeMaxUsefulLatencyMs = (objectiveMs: number): number => USEFUL_LATENCY_FACTOR * objectiveMs;
