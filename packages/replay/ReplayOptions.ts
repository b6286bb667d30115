/** What a replay adds to its trace. */
export interface ReplayOptions {
  /** How often a refused request comes back after its retry-after; 0 without. */
  readonly comeBacks: number;
}
