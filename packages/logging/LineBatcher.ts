import type { Logger } from '../common/Logger';
import { batchedLines } from './batchedLines';
import type { LineFields } from './LineFields';

/** Lines of a batch are from within this time, which delays the batch. */
const BATCH_MS = 50;
/** Bounds the size of a line. */
const MAX_ROWS = 40;

interface Batch {
  readonly message: string;
  readonly shared: LineFields;
  readonly rows: LineFields[];
  readonly since: number;
}

const toFieldSubset = (fields: LineFields, isIncluded: (name: string) => boolean): LineFields =>
  Object.fromEntries(Object.entries(fields).filter(([name]) => isIncluded(name)));

/** Combines similar lines of one moment into one line with rows. Other lines are written at once. */
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
    const batch = this.batches.get(key) ?? { message, shared, rows: [], since: now };
    this.batches.set(key, batch);
    batch.rows.push(toFieldSubset(fields, (name) => rowFields.includes(name)));
    if (batch.rows.length >= MAX_ROWS) {
      this.writeBatch(key, batch);
    }
  }

  /** Writes the batches that are due. */
  handleTick(now: number): void {
    for (const [key, batch] of this.batches) {
      if (now - batch.since >= BATCH_MS) {
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
