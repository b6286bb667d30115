import type { EndpointId } from '../jobs/EndpointId';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import type { JobProgress } from '../jobs/JobProgress';
import type { RunOutcome } from '../jobs/RunOutcome';
import type { TaskAddress } from '../jobs/TaskAddress';
import type { TaskName } from '../jobs/TaskName';
import type { TaskProgress } from '../jobs/TaskProgress';
import { toTaskName } from '../jobs/toTaskName';
import { parseTaskName } from '../jobs/parseTaskName';
import { demandSums } from './demandSums';
import type { DispatchEffect } from './DispatchEffect';
import type { EndedRow } from './EndedRow';
import { EndpointBook } from './EndpointBook';
import type { EndpointProfile } from './EndpointProfile';
import { LiveJob } from './LiveJob';
import type { OrderAnswer } from './OrderAnswer';
import type { PlacedRun } from './PlacedRun';
import { createPlacedRun } from './createPlacedRun';
import { createStrangeRun } from './createStrangeRun';
import { RunMover } from './RunMover';
import { StepPlacer } from './StepPlacer';
import { readWaitingSteps } from './readWaitingSteps';
import type { RunningRow } from './RunningRow';
import { toPlacementOrder } from './toPlacementOrder';

interface DispatcherOptions {
  /** Definition of any job, also of one that has ended. */
  readonly readDefinition: (id: JobId) => JobDefinition | undefined;
  /** Monotonic time until which an endpoint that has not been heard may run what earlier leaders placed there. */
  readonly unheardUntil: number;
}

interface LookAnswer {
  readonly endpoint: EndpointId;
  readonly running: readonly RunningRow[];
  readonly ended: readonly EndedRow[];
  /** Monotonic time at which the question was sent. */
  readonly sentAt: number;
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
/** An endpoint gives at most so many ends in one answer; a full list may not be the whole. */
const FULL_END_LIST = 500;
const STOP_RETRY_MS = 250;

/**
 * The leader's decisions, with no clock and no socket: messages come in with the time, and what is to be done comes out by
 * `readEffects`. Room is taken when a run is chosen and freed only when its end is known.
 */
export class Dispatcher {
  private readonly books = new Map<EndpointId, EndpointBook>();
  private readonly jobs = new Map<JobId, LiveJob>();
  private effects: DispatchEffect[] = [];
  private readonly changed = new Set<JobId>();
  private readonly placer: StepPlacer;
  private readonly mover: RunMover;

  constructor(private readonly options: DispatcherOptions) {
    this.placer = new StepPlacer(this.books, (effect) => this.effects.push(effect));
    this.mover = new RunMover({
      books: this.books,
      jobs: this.jobs,
      handleMove: (book, run, reason) => this.handleMove(book, run, reason),
    });
  }

  /** Gives, once, everything to be done since the last call, records before the starts that need them. */
  readEffects(): readonly DispatchEffect[] {
    const records: DispatchEffect[] = [...this.changed].map((job) => ({ kind: 'record', job }));
    const effects = [...records, ...this.effects];
    this.changed.clear();
    this.effects = [];
    return effects;
  }

  readJob(id: JobId): LiveJob | undefined {
    return this.jobs.get(id);
  }

  readJobCount(): number {
    return this.jobs.size;
  }

  readBook(id: EndpointId): EndpointBook | undefined {
    return this.books.get(id);
  }

  readBooks(): Iterable<EndpointBook> {
    return this.books.values();
  }

  /** Takes a job in. What its progress shows as placed may be running until its endpoint has been heard. */
  handleJob(definition: JobDefinition, progress: JobProgress, now: number): void {
    if (this.jobs.has(definition.id) || progress.isEnded()) {
      return;
    }
    const job = new LiveJob(definition, progress);
    this.jobs.set(definition.id, job);
    for (let time = 0; time < definition.times; time += 1) {
      for (const [step] of definition.steps.entries()) {
        for (const [index, task] of progress.readTasks(time, step).entries()) {
          if (task.phase === 'placed') {
            this.recordInherited(job, { time, step, index }, task, now);
          }
        }
      }
    }
  }

  handleCancel(id: JobId, wallMs: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.progress.isEnded()) {
      return;
    }
    job.isCancelled = true;
    this.recordJobEnd(job, 'cancelled', wallMs);
  }

  /** Takes in what an endpoint's record says, for a new endpoint or a changed one. */
  handleEndpoint(profile: EndpointProfile): void {
    const book = this.books.get(profile.id);
    if (book === undefined) {
      this.books.set(profile.id, new EndpointBook(profile, this.options.unheardUntil));
      return;
    }
    book.applyProfile(profile);
  }

  /** The endpoint's record has gone: nothing new goes there; what runs there is known only by its own word or its lease. */
  handleEndpointLeft(id: EndpointId): void {
    const book = this.books.get(id);
    if (book !== undefined) {
      book.applyProfile({ ...book.readProfile(), isDraining: true });
      this.checkEmptyBook(book);
    }
  }

  /** The endpoint's life is over, so nothing runs there any more. */
  handleEndpointGone(id: EndpointId, now: number): void {
    const book = this.books.get(id);
    if (book === undefined) {
      return;
    }
    for (const run of [...book.readRuns()]) {
      this.recordRunEnd(book, run, 'interrupted', run.checkpoint, now);
    }
    this.books.delete(id);
  }

  /** The endpoint did not answer a look. */
  handleSilence(id: EndpointId, now: number): void {
    this.books.get(id)?.recordSilence(now);
  }

  /** The endpoint answered a look: what it does not list, and was asked for after the order was answered, does not run. */
  handleLook(answer: LookAnswer, now: number, wallMs: number): void {
    const book = this.books.get(answer.endpoint);
    if (book === undefined) {
      return;
    }
    book.recordAnswer();
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

  handleStartAnswer(
    id: EndpointId,
    task: TaskName,
    runNumber: number,
    answer: OrderAnswer,
    now: number,
  ): void {
    const book = this.books.get(id);
    const run = book?.readRun(task, runNumber);
    // A look or a stop may have overtaken the answer: then it tells nothing new.
    if (book === undefined || run === undefined || run.stage !== 'ordered') {
      return;
    }
    switch (answer.kind) {
      case 'done':
        run.stage = 'running';
        run.confirmedAt = now;
        return;
      case 'unanswered':
        book.recordOutcome(true, now);
        this.sendStop(book, run);
        return;
      case 'gone':
        this.handleEndpointGone(id, now);
        return;
      case 'rejected':
        if (answer.reason === 'ticket') {
          this.jobs.get(run.job)?.readAdvice(run.address.time, run.address.step).revokeTicket(id);
        }
        this.recordRunEnd(book, run, 'interrupted', '', now);
        return;
      case 'unhealthy':
        book.recordOutcome(true, now);
        this.recordRunEnd(book, run, 'interrupted', '', now);
        return;
    }
  }

  handleStopAnswer(
    id: EndpointId,
    task: TaskName,
    runNumber: number,
    answer: OrderAnswer,
    now: number,
  ): void {
    const run = this.books.get(id)?.readRun(task, runNumber);
    if (answer.kind === 'gone') {
      this.handleEndpointGone(id, now);
    } else if (run !== undefined && (answer.kind === 'done' || answer.kind === 'rejected')) {
      run.stopAnsweredAt ??= now;
    }
  }

  handleAdvice(
    step: string,
    asked: readonly EndpointId[],
    good: ReadonlyMap<EndpointId, string> | undefined,
    now: number,
  ): void {
    const [id, time, number] = step.split('.');
    const job = this.jobs.get(id as JobId);
    const validityMs = job?.definition.queue.advice?.validityMs ?? 0;
    job?.readAdvice(Number(time), Number(number)).recordAnswer(asked, good, now, validityMs);
  }

  /** Tells whether a start whose record is durable should still be sent; if not, its room is free again. */
  handleRecorded(effect: Extract<DispatchEffect, { kind: 'start' }>, now: number): boolean {
    const book = this.books.get(effect.endpoint);
    const run = book?.readRun(effect.order.task, effect.order.run);
    if (book === undefined || run === undefined || run.stage !== 'recording') {
      return false;
    }
    const job = this.jobs.get(run.job);
    if (job === undefined || job.progress.isEnded() || !book.isUsable()) {
      this.recordRunEnd(book, run, 'interrupted', '', now);
      return false;
    }
    run.stage = 'ordered';
    return true;
  }

  /** A start could not be sent at all. */
  handleUnsent(effect: Extract<DispatchEffect, { kind: 'start' }>, now: number): void {
    const book = this.books.get(effect.endpoint);
    const run = book?.readRun(effect.order.task, effect.order.run);
    if (book !== undefined && run !== undefined) {
      this.recordRunEnd(book, run, 'interrupted', '', now);
    }
  }

  /** Lets time pass: leases run out, stops are repeated. */
  applyTime(now: number): void {
    for (const book of [...this.books.values()]) {
      const isUnheard = book.readSilentSince() !== undefined || !book.isSettled();
      if (isUnheard && now > book.readLeasedUntil()) {
        this.applyLapse(book, now);
      }
      this.sendStopsAgain(book, now);
    }
    this.mover.applyTime(now);
    this.checkGangs();
    this.applyRemovals();
  }

  /** Starts what can start. */
  placeWaiting(now: number, wallMs: number): void {
    const waiting = [...this.jobs.values()]
      .filter((job) => !job.progress.isEnded())
      .flatMap((job) => readWaitingSteps(job, wallMs));
    for (const step of toPlacementOrder(waiting, wallMs)) {
      if (this.placer.placeStep(step, now)) {
        this.changed.add(step.job.definition.id);
      }
    }
    for (const job of this.jobs.values()) {
      this.placer.sendEarlyQuestions(job, now, wallMs);
    }
  }

  private handleMove(book: EndpointBook, run: PlacedRun, reason: string): void {
    const { id } = book.readProfile();
    this.jobs.get(run.job)?.recordFailedOn(run.address.time, run.address.step, id);
    this.sendTell('Run is moved.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: id,
      reason,
      percent: run.percent,
    });
    this.sendStop(book, run);
  }

  private recordInherited(job: LiveJob, address: TaskAddress, task: TaskProgress, now: number): void {
    const { definition } = job;
    let book = this.books.get(task.endpoint);
    if (book === undefined) {
      // Its record is gone: it may be cut off, and still run this until its lease ends.
      const profile: EndpointProfile = {
        id: task.endpoint,
        service: definition.queue.service,
        address: '',
        hall: '',
        capacity: demandSums.NOTHING,
        labels: [],
        isDraining: true,
        remainingMs: 0,
      };
      book = new EndpointBook(profile, this.options.unheardUntil);
      this.books.set(task.endpoint, book);
    }
    const run = createPlacedRun(definition, address, task.run, now);
    run.stage = 'unconfirmed';
    run.checkpoint = task.checkpoint;
    book.recordRun(run);
  }

  private handleEnd(book: EndpointBook, row: EndedRow, now: number, wallMs: number): void {
    const run = book.readRun(row.task, row.run);
    if (run === undefined) {
      return;
    }
    const outcome = OUTCOMES[row.how];
    book.recordOutcome(outcome === 'failed', now);
    if (outcome === 'done') {
      this.mover.recordDone(book, run, now);
    }
    this.recordRunEnd(book, run, outcome, row.checkpoint, now);
    const job = this.jobs.get(run.job);
    if (job !== undefined) {
      this.checkJobEnd(job, run, outcome, book.readProfile().id, wallMs);
    }
  }

  /** Ends the job when this end completes it, or was one failure too many. */
  private checkJobEnd(
    job: LiveJob,
    run: PlacedRun,
    outcome: RunOutcome,
    endpoint: EndpointId,
    wallMs: number,
  ): void {
    const { time, step, index } = run.address;
    const shape = job.definition.steps[step]!;
    if (outcome === 'failed') {
      job.recordFailedOn(time, step, endpoint);
      const failures = job.readFailures(time, step, index);
      if (!shape.isLongRunning && failures >= job.definition.queue.attempts) {
        this.recordJobEnd(job, 'failed', wallMs);
      }
    }
    if (outcome === 'done' && shape.isGang) {
      // One member's end stands for the whole gang.
      for (const [member] of job.progress.readTasks(time, step).entries()) {
        job.progress.recordEnd({ time, step, index: member }, run.run, 'done', '');
      }
    }
    if (job.progress.isAllDone()) {
      this.recordJobEnd(job, 'completed', wallMs);
    }
  }

  private recordJobEnd(job: LiveJob, ending: 'completed' | 'failed' | 'cancelled', wallMs: number): void {
    if (job.progress.isEnded()) {
      return;
    }
    job.progress.recordJobEnd(ending, wallMs);
    this.changed.add(job.definition.id);
    this.sendTell('Job ended.', { job: job.definition.id, queue: job.definition.queue.name, ending });
    for (const book of this.books.values()) {
      for (const run of [...book.readRuns()]) {
        if (run.job === job.definition.id) {
          this.sendStop(book, run);
        }
      }
    }
  }

  /** Frees the room of a run and carries its end into the job's progress. */
  private recordRunEnd(
    book: EndpointBook,
    run: PlacedRun,
    outcome: RunOutcome,
    checkpoint: string,
    now: number,
  ): void {
    book.recordRunEnd(run);
    const job = this.jobs.get(run.job);
    const kept = checkpoint === '' ? run.checkpoint : checkpoint;
    if (job?.progress.recordEnd(run.address, run.run, outcome, kept) === true) {
      this.changed.add(run.job);
      this.sendTell('Run ended.', {
        job: run.job,
        task: run.task,
        run: run.run,
        endpoint: book.readProfile().id,
        outcome,
        stage: run.stage,
        ageMs: Math.round(now - run.placedAt),
      });
    }
    this.checkEmptyBook(book);
  }

  private recordRunning(book: EndpointBook, row: RunningRow, now: number): PlacedRun {
    const run = book.readRun(row.task, row.run) ?? this.recordStray(book, row, now);
    if (run.stage === 'ordered' || run.stage === 'unconfirmed') {
      run.stage = 'running';
      run.confirmedAt = now;
    }
    run.seenAt = now;
    if (row.percent > run.percent) {
      run.percent = row.percent;
      run.progressedAt = now;
    }
    run.load = row.load;
    this.mover.recordRun(book, run, now);
    if (row.checkpoint !== '' && row.checkpoint !== run.checkpoint) {
      run.checkpoint = row.checkpoint;
      this.jobs.get(run.job)?.progress.recordCheckpoint(run.address, row.checkpoint);
    }
    return run;
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
    this.sendStop(book, run);
    this.sendTell('Stopping a run that is not wanted.', {
      job: run.job,
      task: row.task,
      run: row.run,
      endpoint: book.readProfile().id,
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
      if (!listed.has(run) && this.isProvedAbsent(run, sentAt)) {
        this.recordRunEnd(book, run, 'interrupted', run.checkpoint, now);
      }
    }
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

  private applyLapse(book: EndpointBook, now: number): void {
    for (const run of [...book.readRuns()]) {
      if (run.stage !== 'recording') {
        this.recordRunEnd(book, run, 'interrupted', run.checkpoint, now);
      }
    }
  }

  private sendStop(book: EndpointBook, run: PlacedRun): void {
    // While the record is on its way no order has left; `handleRecorded` frees the room.
    if (run.stage === 'stopping' || run.stage === 'recording') {
      return;
    }
    run.stage = 'stopping';
    run.stopAnsweredAt = undefined;
    run.stopSentAt = undefined;
    this.sendStopOrder(book, run);
  }

  private sendStopsAgain(book: EndpointBook, now: number): void {
    for (const run of book.readRuns()) {
      if (run.stage !== 'stopping' || run.stopAnsweredAt !== undefined) {
        continue;
      }
      run.stopSentAt ??= now;
      if (now - run.stopSentAt >= STOP_RETRY_MS) {
        run.stopSentAt = now;
        this.sendStopOrder(book, run);
      }
    }
  }

  private sendStopOrder(book: EndpointBook, run: PlacedRun): void {
    this.effects.push({ kind: 'stop', endpoint: book.readProfile().id, task: run.task, run: run.run });
  }

  /** A gang of which some members are lost cannot work: the others are stopped, and it starts again as a whole. */
  private checkGangs(): void {
    for (const job of this.jobs.values()) {
      for (const [step, shape] of job.definition.steps.entries()) {
        if (shape.isGang) {
          for (let time = 0; time < job.definition.times; time += 1) {
            this.checkGang(job, time, step);
          }
        }
      }
    }
  }

  private checkGang(job: LiveJob, time: number, step: number): void {
    const tasks = job.progress.readTasks(time, step);
    const isSplit =
      tasks.some((task) => task.phase === 'waiting') && tasks.some((task) => task.phase === 'placed');
    if (!isSplit) {
      return;
    }
    for (const [index, task] of tasks.entries()) {
      const book = this.books.get(task.endpoint);
      const run = book?.readRun(toTaskName(job.definition.id, { time, step, index }), task.run);
      if (task.phase === 'placed' && book !== undefined && run !== undefined) {
        this.sendStop(book, run);
      }
    }
  }

  private applyRemovals(): void {
    for (const [id, job] of this.jobs) {
      if (job.progress.isEnded() && !this.changed.has(id)) {
        this.jobs.delete(id);
      }
    }
  }

  private checkEmptyBook(book: EndpointBook): void {
    if (book.readProfile().address === '' && book.readRunCount() === 0) {
      this.books.delete(book.readProfile().id);
    }
  }

  private sendTell(sentence: string, fields: Readonly<Record<string, unknown>>): void {
    this.effects.push({ kind: 'tell', sentence, fields });
  }
}
