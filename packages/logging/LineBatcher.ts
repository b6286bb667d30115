import type { Logger } from '../common/Logger';
import { batchedLines } from './batchedLines';
import type { LineFields } from './LineFields';

/** Time after its first line at which a batch is written. */
const MAX_BATCH_AGE_MS = 50;
/** Number of rows at which a batch is written at once. */
const MAX_BATCH_ROWS = 40;

interface Batch {
  readonly message: string;
  readonly shared: LineFields;
  readonly rows: LineFields[];
  readonly startedAt: number;
}

const toFieldSubset = (fields: LineFields, isIncluded: (name: string) => boolean): LineFields =>
  Object.fromEntries(Object.entries(fields).filter(([name]) => isIncluded(name)));

/**
 * Combines lines with a message of `batchedLines` that agree in their shared fields into one line with rows. Other lines are written at
 * once.
 */
export class LineBatcher {
  private readonly batches = new Map<string, Batch>();

  constructor(private readonly logger: Logger) {}

  recordLine(message: string, fields: LineFields, now: number): void {
    const rowFields = batchedLines[message];
    if (rowFields === undefined) {
      this.logger.info(message, fields);
      return;
    }
    const shared = toFieldSubset(fields, (name) => !rowFields.includes(name));
    const key = `${message} ${JSON.stringify(shared)}`;
    const batch = this.batches.get(key) ?? { message, shared, rows: [], startedAt: now };
    this.batches.set(key, batch);
    batch.rows.push(toFieldSubset(fields, (name) => rowFields.includes(name)));
    if (batch.rows.length >= MAX_BATCH_ROWS) {
      this.writeBatch(key, batch);
    }
  }

  /** Writes the batches that are due. */
  writeDueBatches(now: number): void {
    for (const [key, batch] of this.batches) {
      if (now - batch.startedAt >= MAX_BATCH_AGE_MS) {
        this.writeBatch(key, batch);
      }
    }
  }

  /** Writes all pending batches. */
  stop(): void {
    this.batches.forEach((batch, key) => this.writeBatch(key, batch));
  }

  /** Writes a batch. A single line is written in the usual form, so that it is found by its job. */
  private writeBatch(key: string, { message, shared, rows }: Batch): void {
    this.batches.delete(key);
    this.logger.info(message, rows.length === 1 ? { ...rows[0], ...shared } : { ...shared, rows });
  }
}
