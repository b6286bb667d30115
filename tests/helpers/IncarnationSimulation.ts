import { createRandom } from '../../packages/common/createRandom';
import type { Random } from '../../packages/common/Random';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { toId } from '../../packages/common/toId';
import type { EndpointClient } from '../../packages/dispatch/endpoints/EndpointClient';
import type { EndpointProfile } from '../../packages/dispatch/endpoints/EndpointProfile';
import type { PollResult } from '../../packages/dispatch/endpoints/PollResult';
import type { CommandResult } from '../../packages/dispatch/endpoints/CommandResult';
import { LeaderController } from '../../packages/dispatch/LeaderController';
import type { EndpointId } from '../../packages/jobs/EndpointId';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../packages/jobs/endpointIncarnations';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import { JobReplica } from '../../packages/jobs/JobReplica';
import type { JobState } from '../../packages/jobs/JobState';
import { RunChecker } from '../../packages/standins/platform/RunChecker';
import { createLeaderOptions } from './createLeaderOptions';
import { createProfile } from './createProfile';
import { MemoryLog } from './MemoryLog';
import { SimulatedIncarnation } from './SimulatedIncarnation';

/** A deliberate fault in the protocol, which the checks have to detect. */
export type ProtocolMutation =
  | 'none'
  /** Endpoints do not report which incarnation responds. */
  | 'livesNotTold'
  /** Fencing tokens do not increase with the incarnations of an endpoint. */
  | 'noFence';

interface IncarnationSimulationOptions {
  readonly seed: number;
  readonly endpoints: number;
  /** Tasks that fit on one endpoint. */
  readonly capacity: number;
  /** Share of commands without a response: lost, carried out without a response, or carried out late. */
  readonly lostCommands?: number;
  readonly mutation?: ProtocolMutation;
}

/** How an endpoint restarts. */
interface RestartOptions {
  readonly downMs: number;
  /** Refuses connections while it is down; otherwise they time out. */
  readonly isRefusing: boolean;
  /** Delay of the new incarnation's record after its start. */
  readonly recordAfterMs: number;
}

interface Machine {
  readonly id: EndpointId;
  readonly address: string;
  process: SimulatedIncarnation | undefined;
  incarnation: EndpointIncarnation;
  isRefusing: boolean;
  isPartitioned: boolean;
}

type Delivery<Response> = (
  process: SimulatedIncarnation,
  incarnation: EndpointIncarnation,
) => Promise<Response> | Response;

const ENDPOINTS_TOPIC = 'endpoints';
const STATES_TOPIC = 'states';
const PROGRESS_TOPIC = 'progress';
const MAX_APPEND_BYTES = 1_000_000;
const LATENCY_MS = 2;
const MAX_DELAY_MS = 1500;
const LEASES_EXPIRE_MS = 4400;
/** Time until a replaced leader is fenced by its next write. */
const DETECTION_MS = 700;
const CORE_MILLIS = 1000;
const TASK_MEMORY_MB = 100;

/**
 * A simulated cluster on virtual time (the test's fake timers): real leaders on a log in memory, and endpoints that restart under
 * their ids at any time, with late records, lost commands, tasks that crash their endpoints, and leader changes.
 */
export class IncarnationSimulation {
  readonly runChecker: RunChecker;
  readonly log: MemoryLog;
  private readonly random: Random;
  private readonly machines: Machine[] = [];
  private readonly definitions = new Map<JobId, JobDefinition>();
  private readonly replicas: JobReplica[] = [];
  private leader!: LeaderController;
  private epoch = 0;
  private startTime = 1_700_000_000_000;
  /** Log lines of the leaders. */
  readonly lines: { readonly at: number; readonly message: string; readonly fields: unknown }[] = [];
  readonly counts = new Map<string, number>();

  constructor(private readonly options: IncarnationSimulationOptions) {
    this.random = createRandom(options.seed);
    this.log = new MemoryLog(this.random);
    this.runChecker = new RunChecker(options.capacity);
    for (let index = 0; index < options.endpoints; index += 1) {
      const id = toId<EndpointId>(`i-${index}`);
      const machine: Machine = {
        id,
        address: `machine-${index}:80`,
        process: undefined,
        incarnation: toId<EndpointIncarnation>(id),
        isRefusing: true,
        isPartitioned: false,
      };
      this.machines.push(machine);
      this.startIncarnation(machine, 0);
    }
    this.startLeader();
  }

  /** Starts another leader; the one before goes on until the log or an endpoint fences it. */
  startLeader(): void {
    this.epoch += 1;
    const { epoch } = this;
    const replica = new JobReplica();
    this.definitions.forEach((definition) => replica.recordDefinition(definition));
    this.replicas.push(replica);
    const record = (message: string, fields?: object): void =>
      void this.lines.push({ at: Math.round(performance.now()), message, fields });
    this.leader = new LeaderController(
      createLeaderOptions(this.log, {
        epoch,
        claimedAt: performance.now(),
        earlierLeasesEndAt: epoch === 1 ? 0 : performance.now() + DETECTION_MS + LEASES_EXPIRE_MS,
        statesTopic: STATES_TOPIC,
        progressTopic: PROGRESS_TOPIC,
        endpointsTopic: ENDPOINTS_TOPIC,
        maxAppendBytes: MAX_APPEND_BYTES,
        replica,
        random: this.random,
        logger: { info: record, warn: record, error: record },
        parseEndpoint: (_id, text) => ({ ok: true, value: JSON.parse(text) as EndpointProfile }),
        createEndpointClient: (profile, getToken) => this.createClient(profile, getToken, epoch),
        formatLeaderRecord: () => String(epoch),
        recordCount: (name, amount = 1) => this.counts.set(name, (this.counts.get(name) ?? 0) + amount),
      }),
    );
    this.leader.start();
  }

  /** Stops the current leader at once, as a kill does, and starts the next. */
  startLeaderAfterKill(): void {
    this.leader.stop();
    this.startLeader();
  }

  stop(): void {
    this.leader.stop();
    this.machines.forEach(({ process }) => process?.stop());
  }

  handleJob(definition: JobDefinition): void {
    this.definitions.set(definition.id, definition);
    this.replicas[this.replicas.length - 1]!.recordDefinition(definition);
    this.leader.handleJob(definition);
  }

  getState(id: JobId): JobState {
    return this.leader.getDispatcher().getJob(id)?.progress.getState() ?? this.getWrittenState(id);
  }

  /** Stops the current incarnation of an endpoint, and starts another after `downMs`. */
  async runRestart(index: number, { downMs, isRefusing, recordAfterMs }: RestartOptions): Promise<void> {
    const machine = this.machines[index % this.machines.length]!;
    if (machine.process === undefined) {
      return;
    }
    machine.process.stop();
    machine.process = undefined;
    machine.isRefusing = isRefusing;
    await waitForDelay(downMs);
    this.startIncarnation(machine, recordAfterMs);
  }

  /** Starts or ends a network partition of an endpoint, which goes on running. */
  setPartitioned(index: number, isPartitioned: boolean): void {
    this.machines[index % this.machines.length]!.isPartitioned = isPartitioned;
  }

  private getWrittenState(id: JobId): JobState {
    return this.replicas[this.replicas.length - 1]!.getWrittenState(id);
  }

  private startIncarnation(machine: Machine, recordAfterMs: number): void {
    this.startTime += 1 + Math.floor(this.random() * 1000);
    const incarnation = endpointIncarnations.toIncarnation(machine.id, this.startTime);
    machine.incarnation = incarnation;
    machine.process = new SimulatedIncarnation({
      incarnation,
      runChecker: this.runChecker,
      handleCrash: () =>
        void this.runRestart(this.machines.indexOf(machine), {
          downMs: 1000,
          isRefusing: true,
          recordAfterMs: 0,
        }),
    });
    void waitForDelay(recordAfterMs).then(() => this.writeRecord(machine, incarnation));
  }

  private writeRecord(machine: Machine, incarnation: EndpointIncarnation): void {
    const { capacity: maxTasks } = this.options;
    const capacity = {
      cpuMillis: maxTasks * CORE_MILLIS,
      memoryMb: maxTasks * TASK_MEMORY_MB,
      accelerators: 0,
    };
    const profile = createProfile(machine.id, { incarnation, address: machine.address, capacity });
    this.log.writeRecord(ENDPOINTS_TOPIC, machine.id, JSON.stringify(profile));
  }

  private createClient(profile: EndpointProfile, getToken: () => number, epoch: number): EndpointClient {
    const machine = this.machines.find(({ id }) => id === profile.id)!;
    const { mutation = 'none' } = this.options;
    const getCallToken = mutation === 'noFence' ? () => epoch * 1_000_000 : getToken;
    let clockOffsetMs: number | undefined;
    const toExpiry = (leaseMs: number): number => performance.now() + (clockOffsetMs ?? 0) + leaseMs;
    return {
      sendStart: async ({ task, run, spec }, leaseMs, timeoutMs) => {
        const [token, expiresMs] = [getCallToken(), toExpiry(leaseMs)];
        return this.sendCommand(machine, timeoutMs, (process) => {
          const result = process.handleStart(task, run, spec, expiresMs, token);
          return result === 'done' ? { kind: 'done' } : { kind: 'rejected', reason: result };
        });
      },
      sendStop: async (task, run, timeoutMs) => {
        const token = getCallToken();
        return this.sendCommand(machine, timeoutMs, (process) => {
          if (!process.checkToken(token)) {
            return { kind: 'rejected', reason: 'fence' };
          }
          process.handleStop(task, run);
          return { kind: 'done' };
        });
      },
      sendPoll: async ({ acknowledgedUpTo, leaseMs, waitMs, timeoutMs }) => {
        const token = getCallToken();
        const expiresMs =
          leaseMs === undefined || clockOffsetMs === undefined ? undefined : toExpiry(leaseMs);
        const response = await this.sendCall<PollResult>(machine, timeoutMs, async (process, incarnation) => {
          if (!process.checkToken(token)) {
            return { kind: 'fenced' };
          }
          process.handlePoll(acknowledgedUpTo, expiresMs);
          await process.waitForEnd(waitMs);
          if (mutation !== 'livesNotTold' && incarnation !== profile.incarnation) {
            return { kind: 'otherLife', incarnation };
          }
          clockOffsetMs = process.getClock() - performance.now();
          return { kind: 'held', ...process.getStatus() };
        });
        return 'detail' in response ? { kind: 'unanswered', detail: response.detail } : response;
      },
      stop: () => Promise.resolve(),
    };
  }

  /** Sends a command, which may be lost, carried out without a response, or carried out late. */
  private async sendCommand(
    machine: Machine,
    timeoutMs: number,
    deliver: Delivery<CommandResult>,
  ): Promise<CommandResult> {
    const { lostCommands = 0 } = this.options;
    if (this.random() >= lostCommands) {
      return this.sendCall(machine, timeoutMs, deliver);
    }
    const { process, incarnation } = machine;
    const pick = this.random();
    if (pick < 0.3) {
      void this.sendCall(machine, timeoutMs, deliver);
    } else if (pick < 0.6) {
      // Delayed within the timeout, and received by whichever incarnation runs then.
      void waitForDelay(this.random() * timeoutMs).then(() => this.sendCall(machine, timeoutMs, deliver));
    } else if (pick < 0.9) {
      void waitForDelay(this.random() * MAX_DELAY_MS).then(
        () => process?.hasEnded === false && deliver(process, incarnation),
      );
    }
    await waitForDelay(timeoutMs);
    return { kind: 'unanswered', detail: 'lost' };
  }

  /** Delivers a call to the current incarnation and returns its response; the connection ends with the incarnation. */
  private async sendCall<Response>(
    machine: Machine,
    timeoutMs: number,
    deliver: Delivery<Response>,
  ): Promise<Response | Extract<CommandResult, { kind: 'unanswered' | 'undelivered' }>> {
    await waitForDelay(LATENCY_MS);
    const { process, incarnation } = machine;
    if (process === undefined && machine.isRefusing && !machine.isPartitioned) {
      return { kind: 'undelivered', detail: 'refused' };
    }
    if (process === undefined || machine.isPartitioned) {
      await waitForDelay(timeoutMs);
      return { kind: 'unanswered', detail: 'no answer' };
    }
    const response = await deliver(process, incarnation);
    await waitForDelay(LATENCY_MS);
    return process.hasEnded || machine.isPartitioned ? { kind: 'unanswered', detail: 'reset' } : response;
  }
}
