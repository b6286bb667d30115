import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskCrash } from '../../jobs/TaskCrash';
import type { TaskName } from '../../jobs/TaskName';
import { toTaskName } from '../../jobs/toTaskName';
import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunTracker } from '../runs/RunTracker';
import type { LiveJob } from '../waiting/LiveJob';
import { computeRunBlames } from './computeRunBlames';
import { crashLimits } from './crashLimits';
import { isOverCrashLimit } from './isOverCrashLimit';
import { isCrashSuspect } from './isCrashSuspect';
import type { TaskRef } from './TaskRef';
import type { CrashRecord } from './CrashRecord';
import { UnconfirmedCrashes } from './UnconfirmedCrashes';
import { createCrashFields } from './createCrashFields';
import { CrashHistory } from './CrashHistory';
import { OutageDetector } from './OutageDetector';
import { computeBackoffMs } from './computeBackoffMs';

interface CrashTrackerOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly tracker: RunTracker;
  /** Called when the crash records in the progress of a job have changed, and must be written to the log. */
  readonly handleProgressChange: (job: JobId) => void;
}

/** Reason for removing crash records, as logged. */
type CrashRemovalReason =
  'heard again' | 'explained by a task that was given up' | 'its run began on the next life';

/** Reason why a crash is not confirmed, as logged. */
type UnconfirmedReason = 'left by plan' | 'lease expired' | 'explained by a task that was given up';

/** Highest number of tasks listed in one log line; the field `count` of the line has the number of all tasks. */
const MAX_LOGGED_TASKS = 20;

/** Returns true when a run was so old when its endpoint crashed that its task can't be the cause. */
const isTooOldToBlame = ({ ageMs }: TaskCrash): boolean => ageMs >= crashLimits.maxClearedAgeMs;

/**
 * Puts crashes of endpoints down to the tasks that may have caused them, so that a task that crashes its endpoints is not retried without limit.
 * An incarnation whose end was not planned counts as crashed; one whose end may have been a crash leaves unconfirmed crashes. Both are part of a
 * job's progress, and survive a change of leader.
 */
export class CrashTracker {
  private readonly unconfirmedCrashes = new UnconfirmedCrashes();
  private readonly crashHistory = new CrashHistory();
  private readonly outageDetector = new OutageDetector();
  /** Tasks that may be over the crash limit, by name, until the next call of `applyCrashLimits`. */
  private readonly tasksOverLimit = new Map<TaskName, TaskRef>();

  constructor(private readonly options: CrashTrackerOptions) {}

  /**
   * Applies the crash records of a task that earlier leaders left in its job's progress: the task's backoff starts again, and crashes with unproved blame
   * stay unconfirmed until the endpoint is reachable or has ended. Unconfirmed crashes stay until the endpoint is reachable, as this leader may not know
   * the address at which another incarnation would confirm them.
   */
  applyRecoveredCrashes(job: LiveJob, address: TaskAddress, now: number): void {
    const { crashes, unconfirmedCrashes } = job.progress.getTask(address)!;
    for (const crash of unconfirmedCrashes) {
      this.unconfirmedCrashes.addCrash({
        job: job.definition.id,
        address,
        confirmableUntil: -Infinity,
        crash,
      });
    }
    for (const { endpoint, blame, ageMs } of crashes) {
      this.crashHistory.recordImplicatedTask(endpoint, {
        job: job.definition.id,
        address,
        isBlamed: blame !== 'present',
        recordedAt: now,
      });
      if (blame === 'unproved') {
        const crash = { endpoint, blame: 'inherited', ageMs } as const;
        const confirmableUntil = now + crashLimits.confirmationMs;
        this.unconfirmedCrashes.addCrash({ job: job.definition.id, address, confirmableUntil, crash });
      }
    }
    if (crashes.length > 0) {
      this.applyCrashRecords(job, address, now);
    }
  }

  /**
   * Handles the end of an incarnation on which `runs` were, or may have been. Records a crash of their tasks, and confirms the unconfirmed ones.
   * When its removal was planned, all of these are unconfirmed instead: a task may have crashed it before it left.
   */
  handleIncarnationEnd(endpoint: EndpointState, runs: readonly PlacedRun[], now: number): void {
    const { incarnation, address } = endpoint.getProfile();
    const unconfirmedRecords = this.unconfirmedCrashes.takeCrashesOf(incarnation);
    const records = this.listRunBlames(endpoint, runs).map(({ run, blame }) => ({
      job: run.job,
      address: run.address,
      crash: { endpoint: incarnation, blame, ageMs: this.getListedAgeMs(run) },
    }));
    if (endpoint.isRemovalPlanned()) {
      this.recordUnconfirmedCrashes(incarnation, [...unconfirmedRecords, ...records], 'left by plan', now);
      return;
    }
    this.crashHistory.recordMachineCrash(address, now);
    this.recordConfirmedCrashes(incarnation, [...unconfirmedRecords, ...records], now);
  }

  private recordConfirmedCrashes(
    crashed: EndpointIncarnation,
    records: readonly CrashRecord[],
    now: number,
  ): void {
    const blamedJobs = records.filter(({ crash }) => crash.blame !== 'present').map(({ job }) => job);
    this.crashHistory.recordCrashCause(crashed, blamedJobs, now);
    this.recordCrashes(crashed, records, now);
  }

  /**
   * Handles the expiry of an unreachable endpoint's lease, which has ended `runs`. Notes unconfirmed crashes of their tasks, as the endpoint has
   * crashed, is partitioned, or has left by plan. Unless its removal was planned, tasks to blame get a record with unproved blame at once.
   */
  handleLeaseExpiry(endpoint: EndpointState, runs: readonly PlacedRun[], now: number): void {
    const { incarnation } = endpoint.getProfile();
    const isPlanned = endpoint.isRemovalPlanned();
    const confirmableUntil = isPlanned ? -Infinity : now + crashLimits.confirmationMs;
    const unprovedRecords: CrashRecord[] = [];
    const unconfirmedRecords: CrashRecord[] = [];
    for (const { run, blame } of this.listRunBlames(endpoint, runs)) {
      const { job, address } = run;
      const crash = { endpoint: incarnation, blame, ageMs: this.getListedAgeMs(run) };
      this.unconfirmedCrashes.addCrash({ job, address, confirmableUntil, crash });
      if (isPlanned || blame === 'present') {
        unconfirmedRecords.push({ job, address, crash });
      } else {
        unprovedRecords.push({ job, address, crash: { ...crash, blame: 'unproved' } });
      }
    }
    this.recordCrashes(incarnation, unprovedRecords, now);
    const reason = isPlanned ? 'left by plan' : 'lease expired';
    this.recordUnconfirmedCrashes(incarnation, unconfirmedRecords, reason, now);
  }

  /** Records, for the detection of outages, that an endpoint became unreachable. */
  handleUnreachable(endpoint: EndpointState, now: number): void {
    this.outageDetector.handleUnreachable(endpoint, now);
  }

  /**
   * Handles a response of an incarnation to a poll: it has not crashed, so its unconfirmed crashes and their records are removed. Those of other
   * incarnations of its endpoint are confirmed, also when their runs were placed by an earlier leader and this one knows no more of them.
   */
  handleReachable(id: EndpointIncarnation, now: number): void {
    this.outageDetector.handleReachable(id);
    this.removeCrashRecords(id, this.unconfirmedCrashes.takeCrashesOf(id), 'heard again', now);
    for (const ended of this.unconfirmedCrashes.listOtherIncarnations(id, now)) {
      this.recordConfirmedCrashes(ended, this.unconfirmedCrashes.takeCrashesOf(ended), now);
    }
  }

  /** Clears the task of a run that was sent to an earlier incarnation, but began on the next one, of the crash of the earlier incarnation. */
  handleTransferConfirmed(
    { job, address }: PlacedRun,
    previousIncarnation: EndpointIncarnation,
    now: number,
  ): void {
    this.removeCrashRecords(previousIncarnation, [{ job, address }], 'its run began on the next life', now);
  }

  /**
   * Removes a task's crash records, confirmed or not, in which its run was so much younger than the listed run is now that the task can't be the
   * cause.
   */
  handleRunListed(run: PlacedRun): void {
    const { progress } = this.options.jobs.get(run.job) ?? {};
    const { crashes = [], unconfirmedCrashes = [] } = progress?.getTask(run.address) ?? {};
    if (crashes.length === 0 && unconfirmedCrashes.length === 0) {
      return;
    }
    const { clearedAgeFactor, clearedAgeOffsetMs, maxClearedAgeMs } = crashLimits;
    const listedMs = run.lastListedAt - run.startConfirmedAt;
    const isCleared = ({ ageMs }: TaskCrash): boolean =>
      listedMs >= Math.min(maxClearedAgeMs, clearedAgeFactor * ageMs + clearedAgeOffsetMs);
    if (progress?.removeCrashes(run.address, isCleared) === true) {
      const { job, task } = run;
      this.options.handleProgressChange(job);
      this.options.tracker.sendLogLine('Crash records cleared.', {
        job,
        task,
        listedMs: Math.round(listedMs),
      });
    }
  }

  /** Returns true while a poll of the endpoint's address may still confirm that it has crashed. */
  isCrashUnconfirmed(id: EndpointIncarnation, now: number): boolean {
    return this.unconfirmedCrashes.isCrashUnconfirmed(id, now);
  }

  /** Returns true when an endpoint on the machine has crashed recently, so that another crash there is weak evidence against a task. */
  hasCrashedRecently(address: string, now: number): boolean {
    return this.crashHistory.hasCrashedRecently(address, now);
  }

  /** Returns true while there are recent crashes that no task over the crash limit explains, and that no task is to blame for, or none any more. */
  private hasUnexplainedCrashes(now: number): boolean {
    return this.crashHistory.hasUnexplainedCrashes(now, (task, endpoint) =>
      this.hasCrashRecord(task, endpoint),
    );
  }

  /** Returns true when a task has a record of the crash of this incarnation. */
  private hasCrashRecord(task: TaskRef, crashed: EndpointIncarnation): boolean {
    return this.findCrash(task, crashed) !== undefined;
  }

  /** Returns a task's record of the crash of this incarnation; undefined when it has none. */
  private findCrash(task: TaskRef, crashed: EndpointIncarnation): TaskCrash | undefined {
    return this.listCrashRecords(task).find(({ endpoint }) => endpoint === crashed);
  }

  /** Returns the crash records of a task; an empty list when the task has none, or its job is unknown. */
  private listCrashRecords({ job, address }: TaskRef): readonly TaskCrash[] {
    return this.options.jobs.get(job)?.progress.getTask(address)?.crashes ?? [];
  }

  /**
   * Fails the jobs with a task over the crash limit, and clears other tasks of the crashes that such a task explains. Removes outdated crashes from memory,
   * and unconfirmed ones that can neither be confirmed nor refuted any more.
   */
  applyCrashLimits(now: number, wallMs: number): void {
    for (const [task, { job: id, address }] of this.tasksOverLimit) {
      const job = this.options.jobs.get(id);
      const taskProgress = job?.progress.getTask(address);
      // The check is repeated, since another task over the limit may have explained some of the crashes.
      if (
        job !== undefined &&
        taskProgress !== undefined &&
        !job.progress.isEnded() &&
        isOverCrashLimit(taskProgress, this.hasUnexplainedCrashes(now))
      ) {
        const { crashes, unconfirmedCrashes } = taskProgress;
        this.options.tracker.sendLogLine('Task failed: endpoints crashed under it.', {
          job: id,
          task,
          crashes,
          unconfirmedCrashes,
        });
        this.options.tracker.sendCount('tasksGivenUp');
        this.crashHistory.recordJobOverLimit(id, now);
        this.removeExplainedCrashes({ job: id, address }, crashes, now);
        this.options.tracker.recordJobEnd(job, 'failed', wallMs);
      }
    }
    this.tasksOverLimit.clear();
    this.crashHistory.removeOutdatedCrashes(now);
    this.unconfirmedCrashes.removeOutdatedCrashes(now, (record) => this.hasRefutableCrash(record));
  }

  /** Returns true while a task keeps the record of a crash that a response of the endpoint would refute. */
  private hasRefutableCrash({ job, address, crash }: CrashRecord): boolean {
    const task = this.options.jobs.get(job)?.progress.getTask(address);
    const isSame = ({ endpoint }: TaskCrash): boolean => endpoint === crash.endpoint;
    return task !== undefined && (task.unconfirmedCrashes.some(isSame) || task.crashes.some(isSame));
  }

  /**
   * Clears other tasks of the crashes that a task over the limit explains by its sole or shared blame. Tasks whose runs were in their startup keep a
   * record with the blame `present`, and others an unconfirmed one, since several tasks may crash the same endpoints; those whose runs were too old to be
   * the cause keep none. Tasks with the sole blame for some crash keep all records.
   */
  private removeExplainedCrashes(taskOverLimit: TaskRef, crashes: readonly TaskCrash[], now: number): void {
    for (const { endpoint, blame } of crashes) {
      const implicated =
        blame === 'sole' || blame === 'shared' ? this.crashHistory.listImplicatedTasks(endpoint) : [];
      const others = implicated.filter(
        ({ job, address }) =>
          (job !== taskOverLimit.job || address !== taskOverLimit.address) &&
          !this.hasSoleBlame({ job, address }),
      );
      const present = others.filter((other) => this.setBlamePresent(other, endpoint, now));
      const explained = others
        .filter((other) => !present.includes(other))
        .flatMap(({ job, address }): readonly CrashRecord[] => {
          const crash = this.findCrash({ job, address }, endpoint);
          return crash === undefined ? [] : [{ job, address, crash }];
        });
      const reason = 'explained by a task that was given up';
      this.recordUnconfirmedCrashes(endpoint, explained, reason, now);
      const outlasted = explained.filter(({ crash }) => isTooOldToBlame(crash));
      this.removeCrashRecords(endpoint, outlasted, reason, now);
    }
  }

  /**
   * Reduces the blame in a task's record of a crash to `present`. Returns false, and changes nothing, when the task has no such record or the run was past
   * its startup.
   */
  private setBlamePresent(
    { job: id, address }: TaskRef,
    endpoint: EndpointIncarnation,
    now: number,
  ): boolean {
    const job = this.options.jobs.get(id);
    const crashRecord = this.findCrash({ job: id, address }, endpoint);
    if (job === undefined || crashRecord === undefined || crashRecord.ageMs >= crashLimits.startupMs) {
      return false;
    }
    if (crashRecord.blame !== 'present') {
      job.progress.recordCrash(address, { ...crashRecord, blame: 'present' });
      this.options.handleProgressChange(id);
      this.applyCrashRecords(job, address, now);
    }
    return true;
  }

  /** Returns true when a task has the sole blame for some crash. */
  private hasSoleBlame(task: TaskRef): boolean {
    return this.listCrashRecords(task).some(({ blame }) => blame === 'sole');
  }

  /** Returns the degree of blame of each run for the crash of its endpoint. Leaves out runs whose start command isn't sent yet. */
  private listRunBlames(
    endpoint: EndpointState,
    runs: readonly PlacedRun[],
  ): ReturnType<typeof computeRunBlames> {
    const { jobs } = this.options;
    return computeRunBlames({
      runs: runs.filter(({ stage }) => stage !== 'recording'),
      isOutage: this.outageDetector.isPartOfOutage(endpoint),
      isSuspect: (run) => {
        const task = jobs.get(run.job)?.progress.getTask(run.address);
        return task !== undefined && isCrashSuspect(task);
      },
      getGangKey: ({ job, address, task }) => {
        const isGang = jobs.get(job)?.definition.steps[address.step]?.isGang === true;
        return isGang ? `${job}.${address.repetition}.${address.step}` : task;
      },
    });
  }

  /** Returns the age of a run when a status last listed it, in milliseconds; an assumed age for an unconfirmed run of an earlier leader. */
  private getListedAgeMs(run: PlacedRun): number {
    return run.stage === 'unconfirmed'
      ? crashLimits.unknownAgeMs
      : Math.round(run.lastListedAt - run.startConfirmedAt);
  }

  /** Removes the records of a crash from tasks, and logs the tasks that had one. */
  private removeCrashRecords(
    crashed: EndpointIncarnation,
    tasks: readonly TaskRef[],
    reason: CrashRemovalReason,
    now: number,
  ): void {
    const cleared = tasks.filter((task) => this.removeCrashRecord(task, crashed, now));
    if (cleared.length > 0) {
      const names = cleared.slice(0, MAX_LOGGED_TASKS).map(({ job, address }) => toTaskName(job, address));
      const fields = { endpoint: crashed, reason, count: cleared.length, tasks: names };
      this.options.tracker.sendLogLine('Crash records removed.', fields);
    }
  }

  /** Removes a task's record of a crash, confirmed or not. Returns false when the task has no record of that crash. */
  private removeCrashRecord(
    { job: id, address }: TaskRef,
    crashed: EndpointIncarnation,
    now: number,
  ): boolean {
    const job = this.options.jobs.get(id);
    const isRemoved = ({ endpoint }: TaskCrash): boolean => endpoint === crashed;
    if (job?.progress.removeCrashes(address, isRemoved) !== true) {
      return false;
    }
    this.options.handleProgressChange(id);
    this.applyCrashRecords(job, address, now);
    return true;
  }

  /** Adds crash records to their tasks; counts and logs the added records. */
  private recordCrashes(endpoint: EndpointIncarnation, records: readonly CrashRecord[], now: number): void {
    const recorded = records.filter((record) => this.recordCrash(record, now));
    if (recorded.length === 0) {
      return;
    }
    this.options.tracker.sendCount('crashesCharged', recorded.length);
    const fields = createCrashFields(endpoint, recorded, this.options.jobs);
    this.options.tracker.sendLogLine('Crash recorded.', fields);
  }

  /**
   * Notes crashes that may not have happened in their tasks' progress, in place of crash records of the same endpoint, and logs them. Leaves out runs so old
   * that their task can't be the cause.
   */
  private recordUnconfirmedCrashes(
    endpoint: EndpointIncarnation,
    records: readonly CrashRecord[],
    reason: UnconfirmedReason,
    now: number,
  ): void {
    const recorded = records.filter((record) => this.recordUnconfirmedCrash(record, now));
    if (recorded.length === 0) {
      return;
    }
    const fields = createCrashFields(endpoint, recorded, this.options.jobs);
    this.options.tracker.sendLogLine('Unconfirmed crash recorded.', { ...fields, reason });
  }

  /** Notes an unconfirmed crash of a task. Returns false, and notes none, when its run was too old, the task is done or unknown, or its job has ended. */
  private recordUnconfirmedCrash({ job: id, address, crash }: CrashRecord, now: number): boolean {
    const job = this.findOpenJob({ job: id, address });
    if (job === undefined || isTooOldToBlame(crash)) {
      return false;
    }
    job.progress.removeCrashes(address, ({ endpoint }) => endpoint === crash.endpoint);
    job.progress.recordUnconfirmedCrash(address, crash, crashLimits.maxUnconfirmedCrashes);
    this.options.handleProgressChange(id);
    this.applyCrashRecords(job, address, now);
    return true;
  }

  /** Adds a crash record to its task and to the history. Returns false, and adds none, when the task is done or unknown, or its job has ended. */
  private recordCrash({ job: id, address, crash }: CrashRecord, now: number): boolean {
    const job = this.findOpenJob({ job: id, address });
    if (job === undefined) {
      return false;
    }
    job.progress.recordCrash(address, crash);
    this.crashHistory.recordImplicatedTask(crash.endpoint, {
      job: id,
      address,
      isBlamed: crash.blame !== 'present',
      recordedAt: now,
    });
    this.options.handleProgressChange(id);
    this.applyCrashRecords(job, address, now);
    return true;
  }

  /** Returns the job of a task that may be started again; undefined when the task is done or unknown, or the job has ended. */
  private findOpenJob({ job: id, address }: TaskRef): LiveJob | undefined {
    const job = this.options.jobs.get(id);
    const task = job?.progress.getTask(address);
    const isOpen = task !== undefined && task.phase !== 'done' && job?.progress.isEnded() === false;
    return isOpen ? job : undefined;
  }

  /** Applies a task's crash records: sets the backoff before its next start, and notes the task for `applyCrashLimits` if it is over the limit. */
  private applyCrashRecords(job: LiveJob, address: TaskAddress, now: number): void {
    const task = job.progress.getTask(address)!;
    const backoffMs = computeBackoffMs(task.crashes);
    if (backoffMs > 0) {
      job.recordTaskBackoff(address, now + backoffMs);
    }
    if (isOverCrashLimit(task, this.hasUnexplainedCrashes(now))) {
      const { id } = job.definition;
      this.tasksOverLimit.set(toTaskName(id, address), { job: id, address });
    }
  }
}
