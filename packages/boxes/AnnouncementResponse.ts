/** Response of a box to the announcement of a leader: the process that runs. Earlier versions say nothing of it. */
export interface AnnouncementResponse {
  readonly box?: string | undefined;
  /** Id of the process, unique for each process of a box. */
  readonly process?: string | undefined;
  /** Milliseconds since the process started, by its own clock. */
  readonly upMs?: number | undefined;
  /** Milliseconds since the process last vouched for a leader, by its own clock; not given if it never has. */
  readonly vouchedMs?: number | undefined;
}
