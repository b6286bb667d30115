/** A job that a soak sends, and what is known of it. */
export interface SoakJob {
  readonly id: string;
  /** Queue that it is sent to. */
  readonly queue: string;
  /**
   * - `short`: ends by itself.
   * - `harmful`: ends each endpoint that runs it.
   * - `lasting`: runs until it is cancelled.
   */
  readonly kind: 'short' | 'harmful' | 'lasting';
  /** Number of tasks of its first step. */
  readonly count: number;
  /** What the responses to all attempts say. */
  fate: 'accepted' | 'refused' | 'unknown';
  /** Monotonic time of its acknowledgement in milliseconds; undefined without one. */
  acceptedAt: number | undefined;
}
