import type { Logger } from '../common/Logger';
import { chooseStoryDepth } from './chooseStoryDepth';
import { LeftOutLines } from './LeftOutLines';
import { LineBudget } from './LineBudget';
import type { LineClass } from './LineClass';
import type { LineFields } from './LineFields';
import type { LineLevel } from './LineLevel';
import { LineRates } from './LineRates';
import { getLineClass } from './getLineClass';
import { findLineJob } from './findLineJob';
import { computeSamplingLevel } from './computeSamplingLevel';

interface DecisionLogOptions {
  readonly box: string;
  /** Takes one line with its newline. Must not block. */
  readonly writeLine: (line: string) => void;
  /** Bytes that wait to be taken by the reader of the lines. */
  readonly getBacklogBytes: () => number;
  /** Monotonic milliseconds. */
  readonly readNow: () => number;
  /** Milliseconds since 1970. */
  readonly readWall: () => number;
  /** Most lines a second in the mean. */
  readonly linesPerSecond: number;
}

interface Line {
  readonly level: LineLevel;
  readonly part: string;
  readonly sentence: string;
  readonly fields: LineFields | undefined;
}

const MAX_BACKLOG_BYTES = 1_000_000;
const PART = 'sight';

/**
 * A log of one JSON object a line whose volume is bounded, by lines a second and by what its reader has not taken. What stays is chosen by the class of
 * a line and, among lines of jobs, by whole stories of some jobs; what is left out is counted and told.
 */
export class DecisionLog {
  private readonly budget: LineBudget;
  private readonly rates = new LineRates();
  private readonly leftOut: LeftOutLines;

  constructor(private readonly options: DecisionLogOptions) {
    const now = options.readNow();
    this.budget = new LineBudget(options.linesPerSecond, now);
    this.leftOut = new LeftOutLines(now);
  }

  /** The logger of one part of the process. */
  createLogger(part: string): Logger {
    return {
      info: (sentence, fields) => this.handleLine({ level: 'info', part, sentence, fields }),
      warn: (sentence, fields) => this.handleLine({ level: 'warn', part, sentence, fields }),
      error: (sentence, fields) => this.handleLine({ level: 'error', part, sentence, fields }),
    };
  }

  /** Tells what was left out, if it is time: also where no further line comes. */
  applyTime(): void {
    const now = this.options.readNow();
    if (this.leftOut.isDue(now)) {
      this.writeLeftOut(now);
    }
  }

  /** Tells what was left out since it was last told: the process ends. */
  stop(): void {
    if (this.leftOut.hasLines()) {
      this.writeLeftOut(this.options.readNow());
    }
  }

  private handleLine(line: Line): void {
    this.applyTime();
    const now = this.options.readNow();
    const known = getLineClass(line.level, line.sentence, line.fields);
    this.rates.recordLine(known === 'story', now);
    const depth = this.readDepth();
    const lineClass = known === 'story' ? this.chooseStoryClass(line, depth) : known;
    if (this.hasRoom(lineClass, now)) {
      this.writeEntry(line);
    } else {
      this.leftOut.recordLine(line.sentence, depth);
    }
  }

  private chooseStoryClass({ fields }: Line, depth: number): LineClass {
    return computeSamplingLevel(findLineJob(fields) ?? '') >= depth ? 'story' : 'rest';
  }

  private readDepth(): number {
    const { rates } = this;
    return chooseStoryDepth(this.options.linesPerSecond, rates.readStoryRate(), rates.readOtherRate());
  }

  private hasRoom(lineClass: LineClass, now: number): boolean {
    const isTaken = lineClass === 'error' || this.isReaderTaking();
    return isTaken && this.budget.claim(lineClass, now);
  }

  private isReaderTaking(): boolean {
    return this.options.getBacklogBytes() < MAX_BACKLOG_BYTES;
  }

  /** Takes room like an error: without this line nobody knows that others are missing. */
  private writeLeftOut(now: number): void {
    if (this.isReaderTaking()) {
      this.budget.claim('error', now);
      const fields = this.leftOut.readFields(now);
      this.writeEntry({ level: 'info', part: PART, sentence: 'Lines left out.', fields });
    }
  }

  private writeEntry({ level, part, sentence, fields }: Line): void {
    const time = new Date(this.options.readWall()).toISOString();
    const entry = { time, level, box: this.options.box, part, message: sentence, ...fields };
    this.options.writeLine(`${JSON.stringify(entry)}\n`);
  }
}
