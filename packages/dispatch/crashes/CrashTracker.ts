import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { toTaskName } from '../../jobs/toTaskName';
import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunTracker } from '../runs/RunTracker';
import type { LiveJob } from '../waiting/LiveJob';
import { computeRunBlames } from './computeRunBlames';
import { crashLimits } from './crashLimits';
import { isPastStartup } from './isPastStartup';
import { isOverCrashLimit } from './isOverCrashLimit';
import { isCrashSuspect } from './isCrashSuspect';
import type { TaskRef } from './TaskRef';
import type { CrashRecord } from './CrashRecord';
import { UnconfirmedCrashes } from './UnconfirmedCrashes';
import { CrashHistory } from './CrashHistory';
import { OutageDetector } from './OutageDetector';
import { computeBackoffMs } from './computeBackoffMs';

interface CrashTrackerOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly tracker: RunTracker;
  /** Called when the progress of a job has changed and must be recorded. */
  readonly handleProgressChange: (job: JobId) => void;
}

type CrashRemovalReason =
  'left by plan' | 'heard again' | 'explained by a task that was given up' | 'its run began on the next life';

/** Highest number of tasks named in one log line; `count` counts all. */
const MAX_LOGGED_TASKS = 20;

/**
 * Puts crashes of endpoints down to the tasks that may have caused them, so that a task that crashes its endpoints is not retried without limit.
 * An incarnation that ends without a planned removal counts as crashed. Crash records are part of a job's progress, and survive a change of leader.
 */
export class CrashTracker {
  private readonly unconfirmedCrashes = new UnconfirmedCrashes();
  private readonly crashHistory = new CrashHistory();
  private readonly outageDetector = new OutageDetector();
  /** Tasks that may be over the crash limit, by job, until the next check of the limits. */
  private readonly tasksOverLimit = new Map<JobId, TaskAddress>();

  constructor(private readonly options: CrashTrackerOptions) {}

  /** Applies the crash records of a task that earlier leaders left: backoffs start again, and unconfirmed crashes stay so. */
  applyRecoveredCrashes(job: LiveJob, address: TaskAddress, now: number): void {
    this.applyRecoveredUnconfirmed(job, address);
    const crashes = job.progress.getTask(address)?.crashes ?? [];
    if (crashes.length === 0) {
      return;
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
        this.unconfirmedCrashes.addCrash({ job: job.definition.id, address, since: now, crash });
      }
    }
    this.applyCrashRecords(job, address, now);
  }

  /**
   * Records the unconfirmed crashes that an earlier leader noted. This one may never confirm them, as it doesn't know the endpoint's address, and
   * must not drop them, or a task could exceed its crash limit across changes of leader.
   */
  private applyRecoveredUnconfirmed(job: LiveJob, address: TaskAddress): void {
    for (const crash of job.progress.getTask(address)?.unconfirmedCrashes ?? []) {
      job.progress.recordCrash(address, { ...crash, blame: 'unproved' });
      this.options.handleProgressChange(job.definition.id);
    }
  }

  /** Puts the end of an incarnation down to `runs`, which were there or may have been, unless its removal was planned. */
  handleIncarnationEnd(endpoint: EndpointState, runs: readonly PlacedRun[], now: number): void {
    const { incarnation, address } = endpoint.getProfile();
    const unconfirmedRecords = this.unconfirmedCrashes.takeCrashesOf(incarnation);
    if (endpoint.isRemovalPlanned()) {
      this.removeCrashRecords(incarnation, unconfirmedRecords, 'left by plan', now);
      return;
    }
    this.crashHistory.recordMachineCrash(address, now);
    const records = this.listRunBlames(endpoint, runs).map(({ run, blame }) => ({
      job: run.job,
      address: run.address,
      crash: { endpoint: incarnation, blame, ageMs: this.getListedAgeMs(run) },
    }));
    const allRecords = [...unconfirmedRecords, ...records];
    const blamedJobs = allRecords.filter(({ crash }) => crash.blame !== 'present').map(({ job }) => job);
    this.crashHistory.recordCrashCause(incarnation, blamedJobs, now);
    this.recordCrashes(incarnation, allRecords, now);
  }

  /** Handles the expiry of an unreachable endpoint's lease, which has ended `runs`: the endpoint has crashed, or is cut off. */
  handleLeaseExpiry(endpoint: EndpointState, runs: readonly PlacedRun[], now: number): void {
    if (endpoint.isRemovalPlanned()) {
      return;
    }
    const { incarnation } = endpoint.getProfile();
    const unprovedRecords: CrashRecord[] = [];
    for (const { run, blame } of this.listRunBlames(endpoint, runs)) {
      const { job, address } = run;
      const crash = { endpoint: incarnation, blame, ageMs: this.getListedAgeMs(run) };
      this.unconfirmedCrashes.addCrash({ job, address, since: now, crash });
      if (blame !== 'present' || this.isOneCrashBelowLimit(run)) {
        unprovedRecords.push({ job, address, crash: { ...crash, blame: 'unproved' } });
      } else if (!isPastStartup(run)) {
        this.options.jobs.get(job)?.progress.recordUnconfirmedCrash(address, crash);
        this.options.handleProgressChange(job);
      }
    }
    this.recordCrashes(incarnation, unprovedRecords, now);
  }

  /**
   * Returns true for a run in its startup whose task is over the crash limit with one record more: its next start must not be sent before the crash
   * is confirmed or refuted. Recording every such run would delay healthy tasks.
   */
  private isOneCrashBelowLimit(run: PlacedRun): boolean {
    return !isPastStartup(run) && this.listCrashRecords(run).length >= crashLimits.maxCrashes - 1;
  }

  /** Handles the first poll of an endpoint without a response. */
  handleUnreachable(endpoint: EndpointState, now: number): void {
    this.outageDetector.handleUnreachable(endpoint, now);
  }

  /** Removes the unconfirmed crashes of an endpoint that responds. */
  handleReachable(id: EndpointIncarnation, now: number): void {
    this.outageDetector.handleReachable(id);
    this.removeCrashRecords(id, this.unconfirmedCrashes.takeCrashesOf(id), 'heard again', now);
  }

  /** Clears the task of a run that was sent to an earlier incarnation, but began on the next one, of the crash of the earlier. */
  handleTransferConfirmed({ job, address }: PlacedRun, before: EndpointIncarnation, now: number): void {
    this.removeCrashRecords(before, [{ job, address }], 'its run began on the next life', now);
  }

  /** Clears the task of a listed run of the crashes in which its runs were much younger. */
  handleRunListed(run: PlacedRun): void {
    const { progress } = this.options.jobs.get(run.job) ?? {};
    const { crashes = [], unconfirmedCrashes = [] } = progress?.getTask(run.address) ?? {};
    if (crashes.length === 0 && unconfirmedCrashes.length === 0) {
      return;
    }
    const { clearedAgeFactor, clearedAgeOffsetMs, maxClearedAgeMs } = crashLimits;
    const listedMs = run.lastListedAt - run.confirmedAt;
    const isCleared = ({ ageMs }: TaskCrash): boolean =>
      listedMs >= Math.min(maxClearedAgeMs, clearedAgeFactor * ageMs + clearedAgeOffsetMs);
    if (progress?.removeCrashes(run.address, isCleared) === true) {
      const { job, task } = run;
      this.options.handleProgressChange(job);
      this.options.tracker.sendLogLine('Task is cleared of crashes.', {
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

  /** Returns true when the machine has crashed so recently that another crash there is weak evidence against a task. */
  hasCrashedRecently(address: string, now: number): boolean {
    return this.crashHistory.hasCrashedRecently(address, now);
  }

  /** Returns true while there are recent crashes for which no task is, or still is, to blame. */
  private hasUnexplainedCrashes(now: number): boolean {
    return this.crashHistory.hasUnexplainedCrashes(now, (task, endpoint) =>
      this.hasCrashRecord(task, endpoint),
    );
  }

  private hasCrashRecord(task: TaskRef, crashed: EndpointIncarnation): boolean {
    return this.listCrashRecords(task).some(({ endpoint }) => endpoint === crashed);
  }

  /** Returns the crash records of a task; none once its job has ended. */
  private listCrashRecords({ job, address }: TaskRef): readonly TaskCrash[] {
    return this.options.jobs.get(job)?.progress.getTask(address)?.crashes ?? [];
  }

  /** Fails the jobs with a task over the crash limit, and removes outdated crashes. */
  applyCrashLimits(now: number, wallMs: number): void {
    for (const [id, address] of this.tasksOverLimit) {
      const job = this.options.jobs.get(id);
      const crashes = job?.progress.getTask(address)?.crashes ?? [];
      // The check is repeated, since another task over the limit may have explained some of the crashes.
      if (
        job !== undefined &&
        !job.progress.isEnded() &&
        isOverCrashLimit(crashes, this.hasUnexplainedCrashes(now))
      ) {
        const task = toTaskName(id, address);
        this.options.tracker.sendLogLine('Task is given up: endpoints ended under it.', {
          job: id,
          task,
          crashes,
        });
        this.options.tracker.sendCount('tasksGivenUp');
        this.crashHistory.recordJobOverLimit(id, now);
        this.removeExplainedCrashes({ job: id, address }, crashes, now);
        this.options.tracker.recordJobEnd(job, 'failed', wallMs);
      }
    }
    this.tasksOverLimit.clear();
    this.crashHistory.removeOutdatedCrashes(now);
    // This becomes durable with the job's next change. Until then a new leader would count these crashes, which is safe.
    for (const { job, address, crash } of this.unconfirmedCrashes.takeOutdatedCrashes(now)) {
      this.options.jobs.get(job)?.progress.removeUnconfirmedCrash(address, crash.endpoint);
    }
  }

  /**
   * Clears other tasks of the crashes that a task over the limit explains, so that healthy jobs don't fail with it. Tasks whose runs were in their
   * startup still count as present: several tasks that crash the same endpoints would otherwise clear each other.
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
      const cleared = others.filter((other) => !present.includes(other));
      this.removeCrashRecords(endpoint, cleared, 'explained by a task that was given up', now);
    }
  }

  /** Reduces the blame of a task whose run was in its startup to `present`. Returns false when it has no such crash record. */
  private setBlamePresent(
    { job: id, address }: TaskRef,
    endpoint: EndpointIncarnation,
    now: number,
  ): boolean {
    const job = this.options.jobs.get(id);
    const known = job?.progress.getTask(address)?.crashes.find((crash) => crash.endpoint === endpoint);
    if (job === undefined || known === undefined || known.ageMs >= crashLimits.startupMs) {
      return false;
    }
    if (known.blame !== 'present') {
      job.progress.recordCrash(address, { ...known, blame: 'present' });
      this.options.handleProgressChange(id);
      this.applyCrashRecords(job, address, now);
    }
    return true;
  }

  /** Returns true when a task has the sole blame for some crash, and so may have caused others. */
  private hasSoleBlame(task: TaskRef): boolean {
    return this.listCrashRecords(task).some(({ blame }) => blame === 'sole');
  }

  /** Chooses the blame of each run for a crash. Runs whose start command isn't sent yet are left out. */
  private listRunBlames(
    endpoint: EndpointState,
    runs: readonly PlacedRun[],
  ): ReturnType<typeof computeRunBlames> {
    const { jobs } = this.options;
    return computeRunBlames({
      runs: runs.filter(({ stage }) => stage !== 'recording'),
      isOutage: this.outageDetector.isPartOfOutage(endpoint),
      isSuspect: (run) => isCrashSuspect(jobs.get(run.job)?.progress.getTask(run.address)?.crashes ?? []),
      getGangKey: ({ job, address, task }) => {
        const isGang = jobs.get(job)?.definition.steps[address.step]?.isGang === true;
        return isGang ? `${job}.${address.repetition}.${address.step}` : task;
      },
    });
  }

  /** Returns how long a run had certainly run when a poll last listed it, in milliseconds; assumed for one that an earlier leader placed. */
  private getListedAgeMs(run: PlacedRun): number {
    return run.stage === 'unconfirmed'
      ? crashLimits.unknownAgeMs
      : Math.round(run.lastListedAt - run.confirmedAt);
  }

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
      this.options.tracker.sendLogLine('Charges of a crash are taken back.', fields);
    }
  }

  /** Removes a task's record of a crash. Returns false when there is none. */
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

  private recordCrashes(endpoint: EndpointIncarnation, records: readonly CrashRecord[], now: number): void {
    const recorded = records.filter((record) => this.recordCrash(record, now));
    if (recorded.length === 0) {
      return;
    }
    this.options.tracker.sendCount('crashesCharged', recorded.length);
    this.options.tracker.sendLogLine('Crash is charged.', {
      endpoint,
      count: recorded.length,
      tasks: recorded.slice(0, MAX_LOGGED_TASKS).map(({ job, address, crash }) => ({
        task: toTaskName(job, address),
        blame: crash.blame,
        ageMs: crash.ageMs,
        charged: this.options.jobs.get(job)?.progress.getTask(address)?.crashes.length,
      })),
    });
  }

  /** Records a crash. Returns false when the task is done, or its job has ended. */
  private recordCrash({ job: id, address, crash }: CrashRecord, now: number): boolean {
    const job = this.options.jobs.get(id);
    const task = job?.progress.getTask(address);
    if (job === undefined || task === undefined || task.phase === 'done' || job.progress.isEnded()) {
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

  /** Applies a task's crash records: sets the backoff before its next start, and notes when it is over the crash limit. */
  private applyCrashRecords(job: LiveJob, address: TaskAddress, now: number): void {
    const { crashes } = job.progress.getTask(address)!;
    const backoffMs = computeBackoffMs(crashes);
    if (backoffMs > 0) {
      job.recordBackoff(address, now + backoffMs);
    }
    if (isOverCrashLimit(crashes, this.hasUnexplainedCrashes(now))) {
      this.tasksOverLimit.set(job.definition.id, address);
    }
  }
}
