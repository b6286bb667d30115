import type { TableRecord } from './TableRecord';

/** A record of the configuration stream with the offset the log gave it. */
export interface LoggedRecord {
  readonly offset: number;
  readonly record: TableRecord;
}
