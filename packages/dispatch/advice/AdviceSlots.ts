/** Numbers of advice requests that can be sent now. */
export interface AdviceSlots {
  /** Number of requests of any length. */
  readonly all: number;
  /** Number of these that may be long; the rest is reserved for short requests. */
  readonly long: number;
  /** Number of channels that carry no requests for now, since their boxes cannot be reached, or after a late or missing response. */
  readonly quarantined: number;
}
