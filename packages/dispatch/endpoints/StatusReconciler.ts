import type { JobDefinition } from '../../jobs/JobDefinition';
import type { JobId } from '../../jobs/JobId';
import { parseTaskName } from '../../jobs/parseTaskName';
import type { RunOutcome } from '../../jobs/RunOutcome';
import { createPlacedRun } from '../runs/createPlacedRun';
import { createOrphanRun } from '../runs/createOrphanRun';
import type { CrashTracker } from '../crashes/CrashTracker';
import { isPastStartup } from '../crashes/isPastStartup';
import type { EndedTaskStatus } from './EndedTaskStatus';
import type { EndpointState } from './EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import type { EndpointStatus } from './EndpointStatus';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { RunTracker } from '../runs/RunTracker';
import type { RunLearner } from '../speeds/RunLearner';
import type { RunningTaskStatus } from './RunningTaskStatus';

interface LookReaderOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly ledger: RunTracker;
  readonly learner: RunLearner;
  readonly crashes: CrashTracker;
  /** Definition of any job, also of one that has ended. */
  readonly readDefinition: (id: JobId) => JobDefinition | undefined;
}

/** How an end changes a job's progress. */
const OUTCOMES: Readonly<Record<EndedTaskStatus['how'], RunOutcome>> = {
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
export class StatusReconciler {
  constructor(private readonly options: LookReaderOptions) {}

  /** Takes an answer in: ends first, then what runs, then what is proved not to run. */
  applyStatus(book: EndpointState, answer: EndpointStatus, now: number, wallMs: number): void {
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

  private handleEnd(book: EndpointState, row: EndedTaskStatus, now: number, wallMs: number): void {
    const run = book.getRun(row.task, row.run);
    if (run === undefined) {
      return;
    }
    this.checkCarried(run, now);
    const outcome = OUTCOMES[row.how];
    book.recordOutcome(outcome === 'failed', now);
    this.recordStreak(book, outcome, now);
    if (outcome === 'done') {
      this.options.learner.recordCompletion(book, run, now);
    }
    this.options.ledger.recordRunEnd(
      book,
      run,
      { outcome, cause: 'listed', checkpoint: row.checkpoint, reportedEnd: row.how },
      now,
    );
    const job = this.options.jobs.get(run.job);
    if (job !== undefined) {
      this.options.ledger.checkJobEnd(job, run, outcome, book.getProfile().incarnation, wallMs);
    }
  }

  private recordRunning(book: EndpointState, row: RunningTaskStatus, now: number): PlacedRun {
    const run = book.getRun(row.task, row.run) ?? this.recordStray(book, row, now);
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
    if (isPastStartup(run)) {
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

  private sendDoubtTell(sentence: string, book: EndpointState, run: PlacedRun, now: number): void {
    this.options.ledger.sendLogLine(sentence, {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: book.getProfile().incarnation,
      doubtedMs: Math.round(now - (run.unansweredAt ?? now)),
    });
  }

  private recordStreak(book: EndpointState, outcome: RunOutcome, now: number): void {
    const streak = book.getFailureStreak();
    const wasBroken = streak.isFailing();
    streak.recordEnd(outcome, now);
    if (streak.isFailing() !== wasBroken) {
      const sentence = wasBroken ? 'Endpoint works again.' : 'Endpoint fails what it starts.';
      this.options.ledger.sendLogLine(sentence, { endpoint: book.getProfile().incarnation });
    }
  }

  /** A run that began on this life cannot have ended the one before. */
  private checkCarried(run: PlacedRun, now: number): void {
    if (run.transferredFrom !== undefined) {
      this.options.crashes.handleBegunElsewhere(run, run.transferredFrom, now);
      run.transferredFrom = undefined;
    }
  }

  /** Takes into the books a run that this leader does not want, and stops it. */
  private recordStray(book: EndpointState, row: RunningTaskStatus, now: number): PlacedRun {
    const parsed = parseTaskName(row.task);
    const definition = parsed === undefined ? undefined : this.options.readDefinition(parsed.job);
    const isKnown = parsed !== undefined && definition?.steps[parsed.address.step] !== undefined;
    const run: PlacedRun = isKnown
      ? createPlacedRun(definition!, parsed.address, row.run, now)
      : createOrphanRun(row, now);
    run.stage = 'running';
    book.addRun(run);
    this.options.ledger.sendStop(book, run, 'notWanted');
    this.options.ledger.sendLogLine('Stopping a run that is not wanted.', {
      job: run.job,
      task: row.task,
      run: row.run,
      endpoint: book.getProfile().incarnation,
    });
    return run;
  }

  private checkUnlisted(
    book: EndpointState,
    listed: ReadonlySet<PlacedRun>,
    sentAt: number,
    now: number,
  ): void {
    for (const run of [...book.getRuns()]) {
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
  private recordAbsence(book: EndpointState, run: PlacedRun, now: number): void {
    const { ledger } = this.options;
    if (run.transferredFrom !== undefined) {
      ledger.sendCount('runsLost');
    }
    ledger.recordRunEnd(book, run, run.transferredFrom === undefined ? NOT_LISTED : WITH_LIFE_BEFORE, now);
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
