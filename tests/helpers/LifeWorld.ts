import { createRandom } from '../../packages/common/createRandom';
import type { Random } from '../../packages/common/Random';
import { startDelay } from '../../packages/common/startDelay';
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
import { RunWitness } from '../../packages/standins/platform/RunWitness';
import { createProfile } from './createProfile';
import { MemoryLog } from './MemoryLog';
import { SimulatedIncarnation } from './SimulatedIncarnation';

/** What is wrong on purpose, to show that the checks catch it. */
export type LifeMutation =
  | 'none'
  /** The endpoint does not tell which life answers. */
  | 'livesNotTold'
  /** The token at an endpoint does not rise with its lives. */
  | 'noFence';

interface LifeWorldOptions {
  readonly seed: number;
  readonly endpoints: number;
  /** Tasks that one endpoint has room for. */
  readonly room: number;
  /** Share of the orders that have no answer: lost on the way, done without an answer, or done late. */
  readonly lostOrders?: number;
  readonly mutation?: LifeMutation;
}

/** How an endpoint comes back. */
interface ReturnWay {
  readonly downMs: number;
  /** Refuses connections while it is down, rather than saying nothing. */
  readonly isRefusing: boolean;
  /** The record of the new life comes so much later than its start. */
  readonly recordAfterMs: number;
}

interface Machine {
  readonly id: EndpointId;
  readonly address: string;
  life: SimulatedIncarnation | undefined;
  name: EndpointIncarnation;
  isRefusing: boolean;
  isCut: boolean;
}

type Delivery<Answer> = (life: SimulatedIncarnation, name: EndpointIncarnation) => Promise<Answer> | Answer;

const ENDPOINTS_TOPIC = 'endpoints';
const STATES_TOPIC = 'states';
const PROGRESS_TOPIC = 'progress';
const MAX_APPEND_BYTES = 1_000_000;
const LATENCY_MS = 2;
const LATE_MS = 1500;
const LEASES_OVER_MS = 4400;
/** A leader that was replaced learns it with its next write. */
const REPLACED_MS = 700;
const CORE_MILLIS = 1000;
const TASK_MEMORY_MB = 100;

/**
 * A cell on virtual time (fake timers of the test): leaders as the product has them, on a log in memory, and endpoints that start again under
 * their ids at any moment, with records that are late, orders without an answer, tasks that end their endpoints, and leaders that are replaced.
 */
export class LifeWorld {
  readonly witness: RunWitness;
  readonly log: MemoryLog;
  private readonly random: Random;
  private readonly machines: Machine[] = [];
  private readonly definitions = new Map<JobId, JobDefinition>();
  private readonly replicas: JobReplica[] = [];
  private duty!: LeaderController;
  private epoch = 0;
  private births = 1_700_000_000_000;
  /** Sentences of the leaders' log, with their fields. */
  readonly lines: { readonly at: number; readonly message: string; readonly fields: unknown }[] = [];
  readonly counts = new Map<string, number>();

  constructor(private readonly options: LifeWorldOptions) {
    this.random = createRandom(options.seed);
    this.log = new MemoryLog(this.random);
    this.witness = new RunWitness(options.room);
    for (let index = 0; index < options.endpoints; index += 1) {
      const id = toId<EndpointId>(`i-${index}`);
      const machine: Machine = {
        id,
        address: `machine-${index}:80`,
        life: undefined,
        name: toId<EndpointIncarnation>(id),
        isRefusing: true,
        isCut: false,
      };
      this.machines.push(machine);
      this.startLife(machine, 0);
    }
    this.startLeader();
  }

  /** Another leader takes over; the one before goes on until the log or an endpoint turns it away. */
  startLeader(): void {
    this.epoch += 1;
    const { epoch } = this;
    const replica = new JobReplica();
    this.definitions.forEach((definition) => replica.recordDefinition(definition));
    this.replicas.push(replica);
    const clock = {
      readNow: () => performance.now(),
      readWall: () => Date.now(),
      readLongestSince: (since: number) => performance.now() - since,
    };
    const record = (message: string, fields?: object): void =>
      void this.lines.push({ at: Math.round(performance.now()), message, fields });
    this.duty = new LeaderController({
      epoch,
      claimedAt: performance.now(),
      earlierLeasesEndAt: epoch === 1 ? 0 : performance.now() + REPLACED_MS + LEASES_OVER_MS,
      client: this.log,
      statesTopic: STATES_TOPIC,
      progressTopic: PROGRESS_TOPIC,
      endpointsTopic: ENDPOINTS_TOPIC,
      maxAppendBytes: MAX_APPEND_BYTES,
      replica,
      updateReplica: () => Promise.resolve(true),
      clock,
      random: this.random,
      logger: { info: record, warn: record, error: record },
      policies: {
        placementOrder: 'objective',
        speedChoice: 'kinds',
        hallChoice: 'spread',
        stopChoice: 'ranked',
        turnChoice: 'asked',
      },
      getLimit: () => undefined,
      parseEndpoint: (_id, text) => ({ ok: true, value: JSON.parse(text) as EndpointProfile }),
      createEndpointClient: (profile, readToken) => this.createClient(profile, readToken, epoch),
      isServiceRouted: () => true,
      longestLeaseMs: 10_000,
      listChannels: () => [],
      formatLeaderRecord: () => String(epoch),
      handleLeadershipLost: () => undefined,
      handleLogRecovered: () => undefined,
      recordCount: (name, amount = 1) => this.counts.set(name, (this.counts.get(name) ?? 0) + amount),
      recordTime: () => undefined,
    });
    this.duty.start();
  }

  /** Ends the present leader at once, as a kill does, and begins the next. */
  startLeaderAfterKill(): void {
    this.duty.stop();
    this.startLeader();
  }

  stop(): void {
    this.duty.stop();
    this.machines.forEach(({ life }) => life?.stop());
  }

  handleJob(definition: JobDefinition): void {
    this.definitions.set(definition.id, definition);
    this.replicas[this.replicas.length - 1]!.recordDefinition(definition);
    this.duty.handleJob(definition);
  }

  readState(id: JobId): JobState {
    return this.duty.getDispatcher().getJob(id)?.progress.getState() ?? this.readWrittenState(id);
  }

  /** Ends the life of an endpoint; another one under its id comes later. */
  async startAgain(index: number, { downMs, isRefusing, recordAfterMs }: ReturnWay): Promise<void> {
    const machine = this.machines[index % this.machines.length]!;
    if (machine.life === undefined) {
      return;
    }
    machine.life.stop();
    machine.life = undefined;
    machine.isRefusing = isRefusing;
    await startDelay(downMs);
    this.startLife(machine, recordAfterMs);
  }

  /** Cuts an endpoint off, or mends that; it runs on meanwhile. */
  applyCut(index: number, isCut: boolean): void {
    this.machines[index % this.machines.length]!.isCut = isCut;
  }

  private readWrittenState(id: JobId): JobState {
    return this.replicas[this.replicas.length - 1]!.getWrittenState(id);
  }

  private startLife(machine: Machine, recordAfterMs: number): void {
    this.births += 1 + Math.floor(this.random() * 1000);
    const name = endpointIncarnations.toLife(machine.id, this.births);
    machine.name = name;
    machine.life = new SimulatedIncarnation({
      life: name,
      witness: this.witness,
      handleCrash: () =>
        void this.startAgain(this.machines.indexOf(machine), {
          downMs: 1000,
          isRefusing: true,
          recordAfterMs: 0,
        }),
    });
    void startDelay(recordAfterMs).then(() => this.writeRecord(machine, name));
  }

  private writeRecord(machine: Machine, life: EndpointIncarnation): void {
    const { room } = this.options;
    const capacity = { cpuMillis: room * CORE_MILLIS, memoryMb: room * TASK_MEMORY_MB, accelerators: 0 };
    const profile = createProfile(machine.id, { incarnation: life, address: machine.address, capacity });
    this.log.writeRecord(ENDPOINTS_TOPIC, machine.id, JSON.stringify(profile));
  }

  private createClient(profile: EndpointProfile, readToken: () => number, epoch: number): EndpointClient {
    const machine = this.machines.find(({ id }) => id === profile.id)!;
    const { mutation = 'none' } = this.options;
    const readCallToken = mutation === 'noFence' ? () => epoch * 1_000_000 : readToken;
    let clockOffsetMs: number | undefined;
    const toExpiry = (leaseMs: number): number => performance.now() + (clockOffsetMs ?? 0) + leaseMs;
    return {
      sendStart: async ({ task, run, spec }, leaseMs, timeoutMs) => {
        const [token, expiresMs] = [readCallToken(), toExpiry(leaseMs)];
        return this.sendOrder(machine, timeoutMs, (life) => {
          const result = life.handleStart(task, run, spec, expiresMs, token);
          return result === 'done' ? { kind: 'done' } : { kind: 'rejected', reason: result };
        });
      },
      sendStop: async (task, run, timeoutMs) => {
        const token = readCallToken();
        return this.sendOrder(machine, timeoutMs, (life) => {
          if (!life.checkToken(token)) {
            return { kind: 'rejected', reason: 'fence' };
          }
          life.handleStop(task, run);
          return { kind: 'done' };
        });
      },
      sendPoll: async ({ lastSeen, leaseMs, waitMs, timeoutMs }) => {
        const token = readCallToken();
        const expiresMs =
          leaseMs === undefined || clockOffsetMs === undefined ? undefined : toExpiry(leaseMs);
        const answer = await this.startDelivery<PollResult>(machine, timeoutMs, async (life, name) => {
          if (!life.checkToken(token)) {
            return { kind: 'fenced' };
          }
          life.handlePoll(lastSeen, expiresMs);
          await life.waitForEnd(waitMs);
          if (mutation !== 'livesNotTold' && name !== profile.incarnation) {
            return { kind: 'otherLife', life: name };
          }
          clockOffsetMs = life.getClock() - performance.now();
          return { kind: 'held', ...life.getStatus() };
        });
        return 'detail' in answer ? { kind: 'unanswered', detail: answer.detail } : answer;
      },
      stop: () => Promise.resolve(),
    };
  }

  /** An order may be lost, done without an answer, or done late by the life that took it. */
  private async sendOrder(
    machine: Machine,
    timeoutMs: number,
    deliver: Delivery<CommandResult>,
  ): Promise<CommandResult> {
    const { lostOrders = 0 } = this.options;
    if (this.random() >= lostOrders) {
      return this.startDelivery(machine, timeoutMs, deliver);
    }
    const { life, name } = machine;
    const pick = this.random();
    if (pick < 0.3) {
      void this.startDelivery(machine, timeoutMs, deliver);
    } else if (pick < 0.6) {
      // On its way for as long as it is waited for: whichever life is there then takes it.
      void startDelay(this.random() * timeoutMs).then(() => this.startDelivery(machine, timeoutMs, deliver));
    } else if (pick < 0.9) {
      void startDelay(this.random() * LATE_MS).then(() => life?.isOver === false && deliver(life, name));
    }
    await startDelay(timeoutMs);
    return { kind: 'unanswered', detail: 'lost' };
  }

  /** Brings a call to the life that is there, and its answer back; the connection ends with the life. */
  private async startDelivery<Answer>(
    machine: Machine,
    timeoutMs: number,
    deliver: Delivery<Answer>,
  ): Promise<Answer | Extract<CommandResult, { kind: 'unanswered' | 'undelivered' }>> {
    await startDelay(LATENCY_MS);
    const { life, name } = machine;
    if (life === undefined && machine.isRefusing && !machine.isCut) {
      return { kind: 'undelivered', detail: 'refused' };
    }
    if (life === undefined || machine.isCut) {
      await startDelay(timeoutMs);
      return { kind: 'unanswered', detail: 'no answer' };
    }
    const answer = await deliver(life, name);
    await startDelay(LATENCY_MS);
    return life.isOver || machine.isCut ? { kind: 'unanswered', detail: 'reset' } : answer;
  }
}
