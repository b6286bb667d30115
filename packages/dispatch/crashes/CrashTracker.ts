import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { toTaskName } from '../../jobs/toTaskName';
import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunTracker } from '../runs/RunTracker';
import type { LiveJob } from '../waiting/LiveJob';
import { chooseBlames } from './chooseBlames';
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
  readonly ledger: RunTracker;
  /** The progress of a job has changed and must be recorded. */
  readonly handleChanged: (job: JobId) => void;
}

type RevocationReason =
  'left by plan' | 'heard again' | 'explained by a task that was given up' | 'its run began on the next life';

/** A line names at most so many tasks; the count is that of all. */
const MAX_NAMED_TASKS = 20;

/**
 * Endpoints that ended, charged to the tasks that may have ended them. An end of an endpoint counts unless it was planned: a task that
 * ends its endpoint leaves nobody to say that it failed, and would be started without end if such ends counted against nothing.
 * The charges are part of a job's progress, so that each leader goes on from those of the one before.
 */
export class CrashTracker {
  private readonly unconfirmed = new UnconfirmedCrashes();
  private readonly history = new CrashHistory();
  private readonly outages = new OutageDetector();
  /** Jobs with a task that is not started any more. */
  private readonly tasksOverLimit = new Map<JobId, TaskAddress>();

  constructor(private readonly options: CrashTrackerOptions) {}

  /** Takes in the charges of a job that earlier leaders left: waits begin anew, and doubts go on. */
  applyRecoveredCrashes(job: LiveJob, address: TaskAddress, now: number): void {
    this.applyRecoveredUnconfirmed(job, address);
    const crashes = job.progress.getTask(address)?.crashes ?? [];
    if (crashes.length === 0) {
      return;
    }
    for (const { endpoint, blame, ageMs } of crashes) {
      this.history.recordImplicated(endpoint, {
        job: job.definition.id,
        address,
        isBlamed: blame !== 'present',
        since: now,
      });
      if (blame === 'unproved') {
        const charge = { endpoint, blame: 'inherited', ageMs } as const;
        this.unconfirmed.addCrash({ job: job.definition.id, address, since: now, crash: charge });
      }
    }
    this.applyCrashes(job, address, now);
  }

  /**
   * What an earlier leader waited to see is charged now: this one does not know the endpoint's address, and may never see it. Without this a
   * change of leader would let a harmful task off, and it would be started more often than it may be.
   */
  private applyRecoveredUnconfirmed(job: LiveJob, address: TaskAddress): void {
    for (const doubt of job.progress.getTask(address)?.doubts ?? []) {
      job.progress.recordCrash(address, { ...doubt, blame: 'unproved' });
      this.options.handleChanged(job.definition.id);
    }
  }

  /** An endpoint's life is over; `runs` were there, or may have been. */
  handleIncarnationEnd(book: EndpointState, runs: readonly PlacedRun[], now: number): void {
    const { incarnation: id, address } = book.getProfile();
    const doubts = this.unconfirmed.takeAll(id);
    if (book.isRemovalPlanned()) {
      this.removeCrashes(id, doubts, 'left by plan', now);
      return;
    }
    this.history.recordMachineCrash(address, now);
    const charges = this.chooseBlames(book, runs).map(({ run, blame }) => ({
      job: run.job,
      address: run.address,
      crash: { endpoint: id, blame, ageMs: this.getAgeMs(run) },
    }));
    const all = [...doubts, ...charges];
    const blamed = all.filter(({ crash: charge }) => charge.blame !== 'present').map(({ job }) => job);
    this.history.recordLoss(id, blamed, now);
    this.recordCrashes(id, all, now);
  }

  /** The lease of an endpoint that was silent has run out, and with it `runs`: it crashed, or is cut off. */
  handleLeaseExpiry(book: EndpointState, runs: readonly PlacedRun[], now: number): void {
    if (book.isRemovalPlanned()) {
      return;
    }
    const { incarnation: id } = book.getProfile();
    const unproved: CrashRecord[] = [];
    for (const { run, blame } of this.chooseBlames(book, runs)) {
      const { job, address } = run;
      const charge = { endpoint: id, blame, ageMs: this.getAgeMs(run) };
      this.unconfirmed.addCrash({ job, address, since: now, crash: charge });
      if (blame !== 'present' || this.isOneCrashBelowLimit(run)) {
        unproved.push({ job, address, crash: { ...charge, blame: 'unproved' } });
      } else if (!isPastStartup(run)) {
        this.options.jobs.get(job)?.progress.recordUnconfirmedCrash(address, charge);
        this.options.handleChanged(job);
      }
    }
    this.recordCrashes(id, unproved, now);
  }

  /**
   * True for a run that had just begun, and whose task is given up with one charge more: its next start must not leave before that is known.
   * To charge every such run would hold up sound work beside harmful tasks.
   */
  private isOneCrashBelowLimit(run: PlacedRun): boolean {
    return !isPastStartup(run) && this.listCrashes(run).length >= crashLimits.maxAll - 1;
  }

  /** An endpoint that answered until now has fallen silent. */
  handleUnreachable(book: EndpointState, now: number): void {
    this.outages.handleUnreachable(book, now);
  }

  /** The endpoint is heard: it has not crashed. */
  handleReachable(id: EndpointIncarnation, now: number): void {
    this.outages.handleReachable(id);
    this.removeCrashes(id, this.unconfirmed.takeAll(id), 'heard again', now);
  }

  /** A run that was sent to a life which is over has begun on the next one: its task had no part in that end. */
  handleTransferConfirmed({ job, address }: PlacedRun, before: EndpointIncarnation, now: number): void {
    this.removeCrashes(before, [{ job, address }], 'its run began on the next life', now);
  }

  /** A look has listed a run: one that has worked for much longer than those that were lost clears its task. */
  handleRunListed(run: PlacedRun): void {
    const { progress } = this.options.jobs.get(run.job) ?? {};
    const { crashes = [], doubts = [] } = progress?.getTask(run.address) ?? {};
    if (crashes.length === 0 && doubts.length === 0) {
      return;
    }
    const { clearedAgeFactor, clearedAgeMs, maxClearedAgeMs: longestClearedAgeMs } = crashLimits;
    const listedMs = run.seenAt - run.confirmedAt;
    const isCleared = ({ ageMs }: TaskCrash): boolean =>
      listedMs >= Math.min(longestClearedAgeMs, clearedAgeFactor * ageMs + clearedAgeMs);
    if (progress?.removeCrashes(run.address, isCleared) === true) {
      const { job, task } = run;
      this.options.handleChanged(job);
      this.options.ledger.sendLogLine('Task is cleared of crashes.', {
        job,
        task,
        listedMs: Math.round(listedMs),
      });
    }
  }

  /** True while it is worth asking at the address of an endpoint that fell silent for good. */
  isCrashUnconfirmed(id: EndpointIncarnation, now: number): boolean {
    return this.unconfirmed.isCrashUnconfirmed(id, now);
  }

  /** Tells whether a machine has crashed so lately that the next crash there would tell little of a task. */
  hasCrashedRecently(address: string, now: number): boolean {
    return this.history.hasCrashedRecently(address, now);
  }

  /** True while endpoints are lost that nothing had just begun on, or for which all that had has been done since. */
  private hasUnexplainedLosses(now: number): boolean {
    return this.history.hasUnexplainedLosses(now, (task, life) => this.hasCrash(task, life));
  }

  private hasCrash(owner: TaskRef, life: EndpointIncarnation): boolean {
    return this.listCrashes(owner).some(({ endpoint }) => endpoint === life);
  }

  /** What a task is charged with; nothing once its job has ended. */
  private listCrashes({ job, address }: TaskRef): readonly TaskCrash[] {
    return this.options.jobs.get(job)?.progress.getTask(address)?.crashes ?? [];
  }

  /** Ends the jobs with tasks that are not started any more, and forgets what is too old to tell anything. */
  applyCrashLimits(now: number, wallMs: number): void {
    for (const [id, address] of this.tasksOverLimit) {
      const job = this.options.jobs.get(id);
      const crashes = job?.progress.getTask(address)?.crashes ?? [];
      // Another task that was given up may have explained some of them meanwhile.
      if (
        job !== undefined &&
        !job.progress.isEnded() &&
        isOverCrashLimit(crashes, this.hasUnexplainedLosses(now))
      ) {
        const task = toTaskName(id, address);
        this.options.ledger.sendLogLine('Task is given up: endpoints ended under it.', {
          job: id,
          task,
          crashes,
        });
        this.options.ledger.sendCount('tasksGivenUp');
        this.history.recordOverLimit(id, now);
        this.removeExplained({ job: id, address }, crashes, now);
        this.options.ledger.recordJobEnd(job, 'failed', wallMs);
      }
    }
    this.tasksOverLimit.clear();
    this.history.removeOutdated(now);
    // Durable with the next change of the job: until then the next leader counts them, which is the safe side.
    for (const { job, address, crash: charge } of this.unconfirmed.takeOutdated(now)) {
      this.options.jobs.get(job)?.progress.removeUnconfirmedCrash(address, charge.endpoint);
    }
  }

  /**
   * What a task has been given up for needs no other explanation: those that were charged with the same crashes are cleared of them, or harmful
   * tasks among endpoints that are lost from outside would take sound jobs with them.
   * Those that had just begun there still count as present: harmful tasks that fall together would explain each other's crashes away.
   */
  private removeExplained(guilty: TaskRef, crashes: readonly TaskCrash[], now: number): void {
    for (const { endpoint, blame } of crashes) {
      const charged = blame === 'sole' || blame === 'shared' ? this.history.listImplicated(endpoint) : [];
      const others = charged.filter(
        ({ job, address }) =>
          (job !== guilty.job || address !== guilty.address) && !this.hasSoleBlame({ job, address }),
      );
      const begun = others.filter((other) => this.setPresent(other, endpoint, now));
      const cleared = others.filter((other) => !begun.includes(other));
      this.removeCrashes(endpoint, cleared, 'explained by a task that was given up', now);
    }
  }

  /** Leaves a charge of a run that had just begun as one of presence. Returns false when there is none. */
  private setPresent({ job: id, address }: TaskRef, endpoint: EndpointIncarnation, now: number): boolean {
    const job = this.options.jobs.get(id);
    const known = job?.progress.getTask(address)?.crashes.find((crash) => crash.endpoint === endpoint);
    if (job === undefined || known === undefined || known.ageMs >= crashLimits.startupMs) {
      return false;
    }
    if (known.blame !== 'present') {
      job.progress.recordCrash(address, { ...known, blame: 'present' });
      this.options.handleChanged(id);
      this.applyCrashes(job, address, now);
    }
    return true;
  }

  /** One that was once the only one to blame may well be harmful too. */
  private hasSoleBlame(owner: TaskRef): boolean {
    return this.listCrashes(owner).some(({ blame }) => blame === 'sole');
  }

  /** Charges for the end of an endpoint; an order that still waits for its record cannot have ended anything. */
  private chooseBlames(book: EndpointState, runs: readonly PlacedRun[]): ReturnType<typeof chooseBlames> {
    const { jobs } = this.options;
    return chooseBlames({
      runs: runs.filter(({ stage }) => stage !== 'recording'),
      isOutage: this.outages.isPartOfOutage(book),
      isSuspect: (run) => isCrashSuspect(jobs.get(run.job)?.progress.getTask(run.address)?.crashes ?? []),
      getGroup: ({ job, address, task }) => {
        const isGang = jobs.get(job)?.definition.steps[address.step]?.isGang === true;
        return isGang ? `${job}.${address.time}.${address.step}` : task;
      },
    });
  }

  /** How long a run had worked for certain when it was last heard of. */
  private getAgeMs(run: PlacedRun): number {
    return run.stage === 'unconfirmed' ? crashLimits.unknownAgeMs : Math.round(run.seenAt - run.confirmedAt);
  }

  private removeCrashes(
    revoked: EndpointIncarnation,
    owners: readonly TaskRef[],
    reason: RevocationReason,
    now: number,
  ): void {
    const tasks = owners.filter((owner) => this.removeCrash(owner, revoked, now));
    if (tasks.length > 0) {
      const names = tasks.slice(0, MAX_NAMED_TASKS).map(({ job, address }) => toTaskName(job, address));
      const fields = { endpoint: revoked, reason, count: tasks.length, tasks: names };
      this.options.ledger.sendLogLine('Charges of a crash are taken back.', fields);
    }
  }

  /** Returns false when the task had no such charge. */
  private removeCrash({ job: id, address }: TaskRef, revoked: EndpointIncarnation, now: number): boolean {
    const job = this.options.jobs.get(id);
    const isRevoked = ({ endpoint }: TaskCrash): boolean => endpoint === revoked;
    if (job?.progress.removeCrashes(address, isRevoked) !== true) {
      return false;
    }
    this.options.handleChanged(id);
    this.applyCrashes(job, address, now);
    return true;
  }

  private recordCrashes(endpoint: EndpointIncarnation, charges: readonly CrashRecord[], now: number): void {
    const recorded = charges.filter((charge) => this.recordCrash(charge, now));
    if (recorded.length === 0) {
      return;
    }
    this.options.ledger.sendCount('crashesCharged', recorded.length);
    this.options.ledger.sendLogLine('Crash is charged.', {
      endpoint,
      count: recorded.length,
      tasks: recorded.slice(0, MAX_NAMED_TASKS).map(({ job, address, crash: charge }) => ({
        task: toTaskName(job, address),
        blame: charge.blame,
        ageMs: charge.ageMs,
        charged: this.options.jobs.get(job)?.progress.getTask(address)?.crashes.length,
      })),
    });
  }

  /** Returns false when the task is done, or its job has ended. */
  private recordCrash({ job: id, address, crash: charge }: CrashRecord, now: number): boolean {
    const job = this.options.jobs.get(id);
    const task = job?.progress.getTask(address);
    if (job === undefined || task === undefined || task.phase === 'done' || job.progress.isEnded()) {
      return false;
    }
    job.progress.recordCrash(address, charge);
    this.history.recordImplicated(charge.endpoint, {
      job: id,
      address,
      isBlamed: charge.blame !== 'present',
      since: now,
    });
    this.options.handleChanged(id);
    this.applyCrashes(job, address, now);
    return true;
  }

  /** Draws the consequences of a task's charges: a pause before its next start, or none any more. */
  private applyCrashes(job: LiveJob, address: TaskAddress, now: number): void {
    const { crashes } = job.progress.getTask(address)!;
    const pauseMs = computeBackoffMs(crashes);
    if (pauseMs > 0) {
      job.recordBackoff(address, now + pauseMs);
    }
    if (isOverCrashLimit(crashes, this.hasUnexplainedLosses(now))) {
      this.tasksOverLimit.set(job.definition.id, address);
    }
  }
}
