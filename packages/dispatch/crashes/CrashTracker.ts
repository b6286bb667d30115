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
import { isGivenUp } from './isGivenUp';
import { isCrashSuspect } from './isCrashSuspect';
import type { TaskRef } from './TaskRef';
import type { CrashRecord } from './CrashRecord';
import { UnconfirmedCrashes } from './UnconfirmedCrashes';
import { CrashHistory } from './CrashHistory';
import { OutageWatch } from './OutageWatch';
import { readPauseMs } from './readPauseMs';

interface CrashLedgerOptions {
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
  private readonly doubts = new UnconfirmedCrashes();
  private readonly history = new CrashHistory();
  private readonly outages = new OutageWatch();
  /** Jobs with a task that is not started any more. */
  private readonly givenUp = new Map<JobId, TaskAddress>();

  constructor(private readonly options: CrashLedgerOptions) {}

  /** Takes in the charges of a job that earlier leaders left: waits begin anew, and doubts go on. */
  applyRecoveredCrashes(job: LiveJob, address: TaskAddress, now: number): void {
    this.applyInheritedDoubts(job, address);
    const crashes = job.progress.getTask(address)?.crashes ?? [];
    if (crashes.length === 0) {
      return;
    }
    for (const { endpoint, blame, ageMs } of crashes) {
      this.history.recordCharged(endpoint, {
        job: job.definition.id,
        address,
        isBlamed: blame !== 'present',
        since: now,
      });
      if (blame === 'unproved') {
        const charge = { endpoint, blame: 'inherited', ageMs } as const;
        this.doubts.recordDoubt({ job: job.definition.id, address, since: now, charge });
      }
    }
    this.applyCharges(job, address, now);
  }

  /**
   * What an earlier leader waited to see is charged now: this one does not know the endpoint's address, and may never see it. Without this a
   * change of leader would let a harmful task off, and it would be started more often than it may be.
   */
  private applyInheritedDoubts(job: LiveJob, address: TaskAddress): void {
    for (const doubt of job.progress.getTask(address)?.doubts ?? []) {
      job.progress.recordCrash(address, { ...doubt, blame: 'unproved' });
      this.options.handleChanged(job.definition.id);
    }
  }

  /** An endpoint's life is over; `runs` were there, or may have been. */
  handleIncarnationEnd(book: EndpointState, runs: readonly PlacedRun[], now: number): void {
    const { incarnation: id, address } = book.getProfile();
    const doubts = this.doubts.claimAll(id);
    if (book.isLeaving()) {
      this.revokeCharges(id, doubts, 'left by plan', now);
      return;
    }
    this.history.recordCrashed(address, now);
    const charges = this.readCharges(book, runs).map(({ run, blame }) => ({
      job: run.job,
      address: run.address,
      charge: { endpoint: id, blame, ageMs: this.readAgeMs(run) },
    }));
    const all = [...doubts, ...charges];
    const blamed = all.filter(({ charge }) => charge.blame !== 'present').map(({ job }) => job);
    this.history.recordLoss(id, blamed, now);
    this.recordCrashes(id, all, now);
  }

  /** The lease of an endpoint that was silent has run out, and with it `runs`: it crashed, or is cut off. */
  handleLapse(book: EndpointState, runs: readonly PlacedRun[], now: number): void {
    if (book.isLeaving()) {
      return;
    }
    const { incarnation: id } = book.getProfile();
    const unproved: CrashRecord[] = [];
    for (const { run, blame } of this.readCharges(book, runs)) {
      const { job, address } = run;
      const charge = { endpoint: id, blame, ageMs: this.readAgeMs(run) };
      this.doubts.recordDoubt({ job, address, since: now, charge });
      if (blame !== 'present' || this.isLastBorne(run)) {
        unproved.push({ job, address, charge: { ...charge, blame: 'unproved' } });
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
  private isLastBorne(run: PlacedRun): boolean {
    return !isPastStartup(run) && this.readCrashes(run).length >= crashLimits.maxAll - 1;
  }

  /** An endpoint that answered until now has fallen silent. */
  handleUnreachable(book: EndpointState, now: number): void {
    this.outages.handleSilence(book, now);
  }

  /** The endpoint is heard: it has not crashed. */
  handleHeard(id: EndpointIncarnation, now: number): void {
    this.outages.handleHeard(id);
    this.revokeCharges(id, this.doubts.claimAll(id), 'heard again', now);
  }

  /** A run that was sent to a life which is over has begun on the next one: its task had no part in that end. */
  handleBegunElsewhere({ job, address }: PlacedRun, before: EndpointIncarnation, now: number): void {
    this.revokeCharges(before, [{ job, address }], 'its run began on the next life', now);
  }

  /** A look has listed a run: one that has worked for much longer than those that were lost clears its task. */
  handleListed(run: PlacedRun): void {
    const { progress } = this.options.jobs.get(run.job) ?? {};
    const { crashes = [], doubts = [] } = progress?.getTask(run.address) ?? {};
    if (crashes.length === 0 && doubts.length === 0) {
      return;
    }
    const { clearedAgeFactor, clearedAgeMs, longestClearedAgeMs } = crashLimits;
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
    return this.doubts.isAwaited(id, now);
  }

  /** Tells whether a machine has crashed so lately that the next crash there would tell little of a task. */
  hasCrashedRecently(address: string, now: number): boolean {
    return this.history.hasCrashedLately(address, now);
  }

  /** True while endpoints are lost that nothing had just begun on, or for which all that had has been done since. */
  private isAmongLosses(now: number): boolean {
    return this.history.isAmongLosses(now, (task, life) => this.hasCharge(task, life));
  }

  private hasCharge(owner: TaskRef, life: EndpointIncarnation): boolean {
    return this.readCrashes(owner).some(({ endpoint }) => endpoint === life);
  }

  /** What a task is charged with; nothing once its job has ended. */
  private readCrashes({ job, address }: TaskRef): readonly TaskCrash[] {
    return this.options.jobs.get(job)?.progress.getTask(address)?.crashes ?? [];
  }

  /** Ends the jobs with tasks that are not started any more, and forgets what is too old to tell anything. */
  applyCrashLimits(now: number, wallMs: number): void {
    for (const [id, address] of this.givenUp) {
      const job = this.options.jobs.get(id);
      const crashes = job?.progress.getTask(address)?.crashes ?? [];
      // Another task that was given up may have explained some of them meanwhile.
      if (job !== undefined && !job.progress.isEnded() && isGivenUp(crashes, this.isAmongLosses(now))) {
        const task = toTaskName(id, address);
        this.options.ledger.sendLogLine('Task is given up: endpoints ended under it.', {
          job: id,
          task,
          crashes,
        });
        this.options.ledger.sendCount('tasksGivenUp');
        this.history.recordGivenUp(id, now);
        this.applyExplained({ job: id, address }, crashes, now);
        this.options.ledger.recordJobEnd(job, 'failed', wallMs);
      }
    }
    this.givenUp.clear();
    this.history.applyAge(now);
    // Durable with the next change of the job: until then the next leader counts them, which is the safe side.
    for (const { job, address, charge } of this.doubts.claimOutdated(now)) {
      this.options.jobs.get(job)?.progress.removeUnconfirmedCrash(address, charge.endpoint);
    }
  }

  /**
   * What a task has been given up for needs no other explanation: those that were charged with the same crashes are cleared of them, or harmful
   * tasks among endpoints that are lost from outside would take sound jobs with them.
   * Those that had just begun there still count as present: harmful tasks that fall together would explain each other's crashes away.
   */
  private applyExplained(guilty: TaskRef, crashes: readonly TaskCrash[], now: number): void {
    for (const { endpoint, blame } of crashes) {
      const charged = blame === 'sole' || blame === 'shared' ? this.history.readCharged(endpoint) : [];
      const others = charged.filter(
        ({ job, address }) =>
          (job !== guilty.job || address !== guilty.address) && !this.hasSoleCharge({ job, address }),
      );
      const begun = others.filter((other) => this.applyPresence(other, endpoint, now));
      const cleared = others.filter((other) => !begun.includes(other));
      this.revokeCharges(endpoint, cleared, 'explained by a task that was given up', now);
    }
  }

  /** Leaves a charge of a run that had just begun as one of presence. Returns false when there is none. */
  private applyPresence({ job: id, address }: TaskRef, endpoint: EndpointIncarnation, now: number): boolean {
    const job = this.options.jobs.get(id);
    const known = job?.progress.getTask(address)?.crashes.find((crash) => crash.endpoint === endpoint);
    if (job === undefined || known === undefined || known.ageMs >= crashLimits.provenAgeMs) {
      return false;
    }
    if (known.blame !== 'present') {
      job.progress.recordCrash(address, { ...known, blame: 'present' });
      this.options.handleChanged(id);
      this.applyCharges(job, address, now);
    }
    return true;
  }

  /** One that was once the only one to blame may well be harmful too. */
  private hasSoleCharge(owner: TaskRef): boolean {
    return this.readCrashes(owner).some(({ blame }) => blame === 'sole');
  }

  /** Charges for the end of an endpoint; an order that still waits for its record cannot have ended anything. */
  private readCharges(book: EndpointState, runs: readonly PlacedRun[]): ReturnType<typeof chooseBlames> {
    const { jobs } = this.options;
    return chooseBlames({
      runs: runs.filter(({ stage }) => stage !== 'recording'),
      isOutage: this.outages.isPartOfOutage(book),
      isSuspect: (run) => isCrashSuspect(jobs.get(run.job)?.progress.getTask(run.address)?.crashes ?? []),
      toGroup: ({ job, address, task }) => {
        const isGang = jobs.get(job)?.definition.steps[address.step]?.isGang === true;
        return isGang ? `${job}.${address.time}.${address.step}` : task;
      },
    });
  }

  /** How long a run had worked for certain when it was last heard of. */
  private readAgeMs(run: PlacedRun): number {
    return run.stage === 'unconfirmed' ? crashLimits.unknownAgeMs : Math.round(run.seenAt - run.confirmedAt);
  }

  private revokeCharges(
    revoked: EndpointIncarnation,
    owners: readonly TaskRef[],
    reason: RevocationReason,
    now: number,
  ): void {
    const tasks = owners.filter((owner) => this.revokeCharge(owner, revoked, now));
    if (tasks.length > 0) {
      const names = tasks.slice(0, MAX_NAMED_TASKS).map(({ job, address }) => toTaskName(job, address));
      const fields = { endpoint: revoked, reason, count: tasks.length, tasks: names };
      this.options.ledger.sendLogLine('Charges of a crash are taken back.', fields);
    }
  }

  /** Returns false when the task had no such charge. */
  private revokeCharge({ job: id, address }: TaskRef, revoked: EndpointIncarnation, now: number): boolean {
    const job = this.options.jobs.get(id);
    const isRevoked = ({ endpoint }: TaskCrash): boolean => endpoint === revoked;
    if (job?.progress.removeCrashes(address, isRevoked) !== true) {
      return false;
    }
    this.options.handleChanged(id);
    this.applyCharges(job, address, now);
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
      tasks: recorded.slice(0, MAX_NAMED_TASKS).map(({ job, address, charge }) => ({
        task: toTaskName(job, address),
        blame: charge.blame,
        ageMs: charge.ageMs,
        charged: this.options.jobs.get(job)?.progress.getTask(address)?.crashes.length,
      })),
    });
  }

  /** Returns false when the task is done, or its job has ended. */
  private recordCrash({ job: id, address, charge }: CrashRecord, now: number): boolean {
    const job = this.options.jobs.get(id);
    const task = job?.progress.getTask(address);
    if (job === undefined || task === undefined || task.phase === 'done' || job.progress.isEnded()) {
      return false;
    }
    job.progress.recordCrash(address, charge);
    this.history.recordCharged(charge.endpoint, {
      job: id,
      address,
      isBlamed: charge.blame !== 'present',
      since: now,
    });
    this.options.handleChanged(id);
    this.applyCharges(job, address, now);
    return true;
  }

  /** Draws the consequences of a task's charges: a pause before its next start, or none any more. */
  private applyCharges(job: LiveJob, address: TaskAddress, now: number): void {
    const { crashes } = job.progress.getTask(address)!;
    const pauseMs = readPauseMs(crashes);
    if (pauseMs > 0) {
      job.recordBackoff(address, now + pauseMs);
    }
    if (isGivenUp(crashes, this.isAmongLosses(now))) {
      this.givenUp.set(job.definition.id, address);
    }
  }
}
