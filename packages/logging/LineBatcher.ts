import type { Logger } from '../common/Logger';
import { gatheredLines } from './gatheredLines';
import type { LineFields } from './LineFields';

/** What is told by one line happened within so long; the line stands so much later, or up to the next look at the time. */
const GATHER_MS = 50;
/** A line stays below some kilobytes. */
const MAX_ROWS = 40;

interface Gathered {
  readonly sentence: string;
  readonly shared: LineFields;
  readonly rows: LineFields[];
  readonly since: number;
}

const toPart = (fields: LineFields, isWanted: (name: string) => boolean): LineFields =>
  Object.fromEntries(Object.entries(fields).filter(([name]) => isWanted(name)));

/** Writes lines of one kind that come together as one line with rows; all others as they come. */
export class LineBatcher {
  private readonly gathered = new Map<string, Gathered>();

  constructor(private readonly logger: Logger) {}

  recordLine(sentence: string, fields: LineFields, now: number): void {
    const rowFields = gatheredLines[sentence];
    if (rowFields === undefined) {
      this.logger.info(sentence, fields);
      return;
    }
    const shared = toPart(fields, (name) => !rowFields.includes(name));
    const key = `${sentence} ${JSON.stringify(shared)}`;
    const one = this.gathered.get(key) ?? { sentence, shared, rows: [], since: now };
    this.gathered.set(key, one);
    one.rows.push(toPart(fields, (name) => rowFields.includes(name)));
    if (one.rows.length >= MAX_ROWS) {
      this.writeGathered(key, one);
    }
  }

  /** Writes what has waited long enough. */
  applyTime(now: number): void {
    for (const [key, one] of this.gathered) {
      if (now - one.since >= GATHER_MS) {
        this.writeGathered(key, one);
      }
    }
  }

  /** Writes all that waits. */
  stop(): void {
    this.gathered.forEach((one, key) => this.writeGathered(key, one));
  }

  /** A single one is written like any other line, so that its job has it among its own. */
  private writeGathered(key: string, { sentence, shared, rows }: Gathered): void {
    this.gathered.delete(key);
    this.logger.info(sentence, rows.length === 1 ? { ...rows[0], ...shared } : { ...shared, rows });
  }
}
