import type { LogWrite } from './LogWrite';

/** Bytes that a record takes beside its key and value. */
const RECORD_OVERHEAD_BYTES = 5;

/** Bytes of one record in an append. */
const measureBytes = ({ key, value }: LogWrite): number =>
  Buffer.byteLength(key) + Buffer.byteLength(value) + RECORD_OVERHEAD_BYTES;

/** What holds for all appends to the log. */
export const appendRules = {
  /** Time for an answer in milliseconds; doubles with each call that had none, up to the second figure. */
  initialTimeoutMs: 350,
  maxTimeoutMs: 1400,
  measureBytes,
} as const;
