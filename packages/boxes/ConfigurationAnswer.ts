import type { QueueConfiguration } from '../gateway/QueueConfiguration';

/** What a box knows of the configuration. */
export interface ConfigurationAnswer {
  /** Milliseconds since the box last knew that its configuration was the newest. */
  readonly ageMs: number;
  /** Left out when the box has no newer version than the asker. */
  readonly configuration?: QueueConfiguration | undefined;
}
