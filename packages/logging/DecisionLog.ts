import type { Logger } from '../common/Logger';
import { chooseMinSamplingLevel } from './chooseMinSamplingLevel';
import { formatLine } from './formatLine';
import { SuppressedLines } from './SuppressedLines';
import { LineBudget } from './LineBudget';
import type { LineClass } from './LineClass';
import type { LineFields } from './LineFields';
import type { LineLevel } from './LineLevel';
import { LineRates } from './LineRates';
import { getLineClass } from './getLineClass';
import { findLineJob } from './findLineJob';
import { computeJobSamplingLevel } from './computeJobSamplingLevel';

interface DecisionLogOptions {
  readonly box: string;
  /** Writes a line, which includes its newline; a little later if it `canWait`. Must not block. */
  readonly writeLine: (line: string, canWait: boolean) => void;
  /** Returns the number of bytes that the reader of the log has not consumed. */
  readonly getBacklogBytes: () => number;
  /** Returns monotonic milliseconds. */
  readonly getNow: () => number;
  /** Returns Unix milliseconds. */
  readonly getWallMs: () => number;
  /** Maximum mean rate of lines. */
  readonly maxLinesPerSecond: number;
}

interface Line {
  readonly level: LineLevel;
  readonly part: string;
  readonly message: string;
  readonly fields: LineFields | undefined;
}

const MAX_BACKLOG_BYTES = 1_000_000;
const OWN_LOG_PART = 'sight';
/** Parts without lines that an answer to a caller follows. A caller who has an answer finds its line in the log. */
const DEFERRABLE_PARTS: ReadonlySet<string> = new Set(['leader']);

/**
 * Log of one JSON object per line, with a bounded rate of lines and a bounded backlog of its reader. Lines have priority by class. Lines of
 * jobs are sampled by job, so that all lines of a sampled job are kept. Suppressed lines are counted, and the counts are logged.
 */
export class DecisionLog {
  private readonly lineBudget: LineBudget;
  private readonly lineRates = new LineRates();
  private readonly suppressedLines: SuppressedLines;

  constructor(private readonly options: DecisionLogOptions) {
    const now = options.getNow();
    this.lineBudget = new LineBudget(options.maxLinesPerSecond, now);
    this.suppressedLines = new SuppressedLines(now);
  }

  /** Creates a logger whose lines name a part of the process. */
  createLogger(part: string): Logger {
    return {
      info: (message, fields) => this.handleLine({ level: 'info', part, message, fields }),
      warn: (message, fields) => this.handleLine({ level: 'warn', part, message, fields }),
      error: (message, fields) => this.handleLine({ level: 'error', part, message, fields }),
    };
  }

  /** Logs the counts of suppressed lines when a report is due. Called with each line, and periodically. */
  logSuppressedWhenDue(): void {
    const now = this.options.getNow();
    if (this.suppressedLines.isReportDue(now)) {
      this.writeSuppressed(now);
    }
  }

  /** Logs the remaining counts of suppressed lines at the end of the process. */
  stop(): void {
    if (this.suppressedLines.hasSuppressedLines()) {
      this.writeSuppressed(this.options.getNow());
    }
  }

  private handleLine(line: Line): void {
    this.logSuppressedWhenDue();
    const now = this.options.getNow();
    const baseClass = getLineClass(line.level, line.message, line.fields);
    this.lineRates.recordLine(baseClass === 'story', now);
    const minLevel = this.computeMinSamplingLevel();
    const lineClass = baseClass === 'story' ? this.chooseJobLineClass(line, minLevel) : baseClass;
    if (this.takeLineBudget(lineClass, now)) {
      this.writeEntry(line);
    } else {
      this.suppressedLines.recordLine(line.message, minLevel);
    }
  }

  private chooseJobLineClass({ fields }: Line, minLevel: number): LineClass {
    return computeJobSamplingLevel(findLineJob(fields) ?? '') >= minLevel ? 'story' : 'rest';
  }

  private computeMinSamplingLevel(): number {
    const { lineRates } = this;
    return chooseMinSamplingLevel(
      this.options.maxLinesPerSecond,
      lineRates.getJobLineRate(),
      lineRates.computeOtherLineRate(),
    );
  }

  /** Takes a token for a line of a class. Returns false when none is available, or the reader lags behind and the line is no error. */
  private takeLineBudget(lineClass: LineClass, now: number): boolean {
    const canWrite = lineClass === 'error' || this.isReaderKeepingUp();
    return canWrite && this.lineBudget.takeToken(lineClass, now);
  }

  private isReaderKeepingUp(): boolean {
    return this.options.getBacklogBytes() < MAX_BACKLOG_BYTES;
  }

  /** Logs and resets the counts of suppressed lines, with the priority of an error. Does nothing while the reader lags behind. */
  private writeSuppressed(now: number): void {
    if (this.isReaderKeepingUp()) {
      this.lineBudget.takeToken('error', now);
      const fields = this.suppressedLines.takeReportFields(now);
      this.writeEntry({ level: 'info', part: OWN_LOG_PART, message: 'Lines left out.', fields });
    }
  }

  private writeEntry({ level, part, message, fields }: Line): void {
    const time = new Date(this.options.getWallMs()).toISOString();
    const entry = { time, level, box: this.options.box, part, message, ...fields };
    const canWait = level !== 'error' && DEFERRABLE_PARTS.has(part);
    this.options.writeLine(formatLine(entry), canWait);
  }
}
