import type { JobDefinition } from '../../jobs/JobDefinition';
import type { JobId } from '../../jobs/JobId';
import { parseTaskName } from '../../jobs/parseTaskName';
import type { RunOutcome } from '../../jobs/RunOutcome';
import { createPlacedRun } from '../runs/createPlacedRun';
import { createStrangeRun } from '../runs/createStrangeRun';
import type { CrashLedger } from '../crashes/CrashLedger';
import { isProven } from '../crashes/isProven';
import type { EndedRow } from './EndedRow';
import type { EndpointBook } from './EndpointBook';
import type { LiveJob } from '../waiting/LiveJob';
import type { LookAnswer } from './LookAnswer';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { RunLedger } from '../runs/RunLedger';
import type { RunLearner } from '../speeds/RunLearner';
import type { RunningRow } from './RunningRow';

interface LookReaderOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly ledger: RunLedger;
  readonly learner: RunLearner;
  readonly crashes: CrashLedger;
  /** Definition of any job, also of one that has ended. */
  readonly readDefinition: (id: JobId) => JobDefinition | undefined;
}

/** How an end changes a job's progress. */
const OUTCOMES: Readonly<Record<EndedRow['how'], RunOutcome>> = {
  done: 'done',
  failed: 'failed',
  stopped: 'interrupted',
  lapsed: 'interrupted',
  broken: 'interrupted',
  alone: 'interrupted',
};
const NOT_LISTED: RunEnd = { outcome: 'interrupted', cause: 'notListed', checkpoint: '' };
const WITH_LIFE_BEFORE: RunEnd = { outcome: 'interrupted', cause: 'lifeOver', checkpoint: '' };
/** An endpoint gives at most so many ends in one answer; a full list may not be the whole. */
const FULL_END_LIST = 500;

/** Compares what an endpoint says it runs with its books. */
export class LookReader {
  constructor(private readonly options: LookReaderOptions) {}

  /** Takes an answer in: ends first, then what runs, then what is proved not to run. */
  handleLook(book: EndpointBook, answer: LookAnswer, now: number, wallMs: number): void {
    book.recordAnswer(now);
    this.options.crashes.handleHeard(answer.endpoint, now);
    for (const row of answer.ended) {
      this.handleEnd(book, row, now, wallMs);
    }
    const listed = new Set<PlacedRun>();
    for (const row of answer.running) {
      listed.add(this.recordRunning(book, row, now));
    }
    if (answer.ended.length < FULL_END_LIST) {
      this.checkUnlisted(book, listed, answer.sentAt, now);
    }
  }

  private handleEnd(book: EndpointBook, row: EndedRow, now: number, wallMs: number): void {
    const run = book.readRun(row.task, row.run);
    if (run === undefined) {
      return;
    }
    this.checkCarried(run, now);
    const outcome = OUTCOMES[row.how];
    book.recordOutcome(outcome === 'failed', now);
    this.recordStreak(book, outcome, now);
    if (outcome === 'done') {
      this.options.learner.recordDone(book, run, now);
    }
    this.options.ledger.recordRunEnd(
      book,
      run,
      { outcome, cause: 'listed', checkpoint: row.checkpoint, how: row.how },
      now,
    );
    const job = this.options.jobs.get(run.job);
    if (job !== undefined) {
      this.options.ledger.checkJobEnd(job, run, outcome, book.readProfile().life, wallMs);
    }
  }

  private recordRunning(book: EndpointBook, row: RunningRow, now: number): PlacedRun {
    const run = book.readRun(row.task, row.run) ?? this.recordStray(book, row, now);
    if (run.stage === 'ordered' || run.stage === 'unconfirmed') {
      run.stage = 'running';
      // Also where its answer was missed: it may have begun just now, and counts as proven only once it has worked for long enough for certain.
      run.confirmedAt = now;
      if (run.unansweredAt !== undefined) {
        this.sendDoubtTell('Run is there, though its start had no answer.', book, run, now);
        run.unansweredAt = undefined;
      }
    }
    this.checkCarried(run, now);
    run.isListed = true;
    run.seenAt = now;
    if (isProven(run)) {
      book.recordProven(run);
      this.options.crashes.handleListed(run);
    }
    if (row.percent > run.percent) {
      run.percent = row.percent;
      run.progressedAt = now;
    }
    this.options.learner.recordRun(book, run, now);
    if (row.checkpoint !== '' && row.checkpoint !== run.checkpoint) {
      run.checkpoint = row.checkpoint;
      run.checkpointedAt = now;
      this.options.jobs.get(run.job)?.progress.recordCheckpoint(run.address, row.checkpoint);
    }
    return run;
  }

  private sendDoubtTell(sentence: string, book: EndpointBook, run: PlacedRun, now: number): void {
    this.options.ledger.sendTell(sentence, {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: book.readProfile().life,
      doubtedMs: Math.round(now - (run.unansweredAt ?? now)),
    });
  }

  private recordStreak(book: EndpointBook, outcome: RunOutcome, now: number): void {
    const streak = book.readFailureStreak();
    const wasBroken = streak.isBroken();
    streak.recordEnd(outcome, now);
    if (streak.isBroken() !== wasBroken) {
      const sentence = wasBroken ? 'Endpoint works again.' : 'Endpoint fails what it starts.';
      this.options.ledger.sendTell(sentence, { endpoint: book.readProfile().life });
    }
  }

  /** A run that began on this life cannot have ended the one before. */
  private checkCarried(run: PlacedRun, now: number): void {
    if (run.carriedFrom !== undefined) {
      this.options.crashes.handleBegunElsewhere(run, run.carriedFrom, now);
      run.carriedFrom = undefined;
    }
  }

  /** Takes into the books a run that this leader does not want, and stops it. */
  private recordStray(book: EndpointBook, row: RunningRow, now: number): PlacedRun {
    const parsed = parseTaskName(row.task);
    const definition = parsed === undefined ? undefined : this.options.readDefinition(parsed.job);
    const isKnown = parsed !== undefined && definition?.steps[parsed.address.step] !== undefined;
    const run: PlacedRun = isKnown
      ? createPlacedRun(definition!, parsed.address, row.run, now)
      : createStrangeRun(row, now);
    run.stage = 'running';
    book.recordRun(run);
    this.options.ledger.sendStop(book, run, 'notWanted');
    this.options.ledger.sendTell('Stopping a run that is not wanted.', {
      job: run.job,
      task: row.task,
      run: row.run,
      endpoint: book.readProfile().life,
    });
    return run;
  }

  private checkUnlisted(
    book: EndpointBook,
    listed: ReadonlySet<PlacedRun>,
    sentAt: number,
    now: number,
  ): void {
    for (const run of [...book.readRuns()]) {
      if (listed.has(run)) {
        continue;
      }
      if (this.isProvedAbsent(run, sentAt)) {
        this.recordAbsence(book, run, now);
      } else if (run.stage === 'ordered' && sentAt >= (run.unansweredAt ?? Infinity)) {
        // It is not there, but its order may still arrive: only a stop shuts that out.
        this.options.ledger.sendStop(book, run, 'unanswered');
      }
    }
  }

  /** One that was sent to the life before, and is not here, ended with it. */
  private recordAbsence(book: EndpointBook, run: PlacedRun, now: number): void {
    const { ledger } = this.options;
    if (run.carriedFrom !== undefined) {
      ledger.sendCount('runsLost');
    }
    ledger.recordRunEnd(book, run, run.carriedFrom === undefined ? NOT_LISTED : WITH_LIFE_BEFORE, now);
  }

  private isProvedAbsent(run: PlacedRun, sentAt: number): boolean {
    switch (run.stage) {
      case 'recording':
      case 'ordered':
        return false;
      case 'unconfirmed':
        return true;
      case 'running':
        return run.confirmedAt < sentAt;
      case 'stopping':
        return run.stopAnsweredAt !== undefined && run.stopAnsweredAt <= sentAt;
    }
  }
}
