/**
 * Hybrid logical timestamp: wall clock milliseconds that never decrease, then a counter. Orders events causally.
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
export interface HybridTime {
  /** Milliseconds since 1970. */
  readonly ms: number;
  /** Orders events of the same millisecond. */
  readonly count: number;
}
