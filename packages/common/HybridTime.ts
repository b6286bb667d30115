/**
 * A hybrid logical time: wall milliseconds that never go back, then a counter.
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014. Orders events causally; no safety rule reads it.
 */
export interface HybridTime {
  /** Milliseconds since 1970. */
  readonly ms: number;
  readonly count: number;
}
