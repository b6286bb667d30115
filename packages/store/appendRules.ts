import type { LogWrite } from './LogWrite';

/** Size of a record beyond its key and value. */
const RECORD_OVERHEAD_BYTES = 5;

/** Returns the size of a record in an append, in bytes. */
const computeRecordBytes = ({ key, value }: LogWrite): number =>
  Buffer.byteLength(key) + Buffer.byteLength(value) + RECORD_OVERHEAD_BYTES;

/** Time limits and size computation that all writers of the log share. */
export const appendRules = {
  /** Time limit of the first attempt; doubles with each timeout, up to `maxTimeoutMs`. */
  initialTimeoutMs: 350,
  maxTimeoutMs: 1400,
  computeRecordBytes,
} as const;
