import type { QueueConfiguration } from '../gateway/QueueConfiguration';

/** Configuration of a box, in response to a request of another. */
export interface ConfigurationResponse {
  /** Milliseconds since the configuration was last confirmed to be the newest. */
  readonly ageMs: number;
  /** Absent when the box has no newer version than the requesting one. */
  readonly configuration?: QueueConfiguration | undefined;
}
