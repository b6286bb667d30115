import type { Logger } from '../common/Logger';
import type { LogWrite } from './LogWrite';

/** Logs that the log never takes a record, with its key and size, and the reason that the log gave. */
export const logRejectedRecord = (
  logger: Logger,
  topic: string,
  { key, value }: LogWrite,
  detail: string,
): void =>
  logger.error('Record is rejected by the log and not written.', {
    topic,
    key,
    bytes: Buffer.byteLength(value),
    detail,
  });
