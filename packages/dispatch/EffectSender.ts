import type { Clock } from '../common/Clock';
import type { JobId } from '../jobs/JobId';
import type { LineBatcher } from '../logging/LineBatcher';
import type { AdviceBalancer } from './advice/AdviceBalancer';
import type { DispatchCounterName } from './DispatchCounterName';
import type { DispatchEffect } from './DispatchEffect';
import type { Dispatcher } from './Dispatcher';
import type { CommandSender } from './endpoints/CommandSender';
import type { EndpointSessions } from './endpoints/EndpointSessions';
import type { LeaderJournal } from './LeaderJournal';

type EffectKind = DispatchEffect['kind'];
type EffectOf<Kind extends EffectKind> = Extract<DispatchEffect, { kind: Kind }>;
type EffectHandlers = { readonly [Kind in EffectKind]: (effect: EffectOf<Kind>) => void };

interface EffectSenderOptions {
  readonly dispatcher: Dispatcher;
  readonly journal: LeaderJournal;
  readonly commandSender: CommandSender;
  readonly endpointSessions: EndpointSessions;
  readonly adviceBalancer: AdviceBalancer;
  readonly lineBatcher: LineBatcher;
  readonly clock: Clock;
  readonly recordCount: (name: 'questions' | DispatchCounterName, amount?: number) => void;
}

/** Carries out the effects that the dispatcher's decisions have: records, commands, polls, advice requests, counts and log lines. */
export class EffectSender {
  private readonly handlers: EffectHandlers = {
    record: ({ job }) => this.queueProgressRecord(job),
    recordLeases: () => this.options.journal.queueLeaderRecord(),
    begin: ({ job }) => this.queueJobState(job),
    start: (effect) =>
      this.queueProgressRecord(effect.job, () => void this.options.commandSender.sendStart(effect)),
    stop: (effect) => void this.options.commandSender.sendStop(effect),
    look: ({ endpoint }) => void this.options.endpointSessions.getSession(endpoint)?.sendExtraPoll(),
    advise: (effect) => {
      this.options.recordCount('questions');
      void this.options.adviceBalancer.sendRequest(effect);
    },
    count: ({ name, amount }) => this.options.recordCount(name, amount),
    tell: ({ message, fields }) =>
      this.options.lineBatcher.recordLine(message, fields, this.options.clock.getNow()),
  };

  constructor(private readonly options: EffectSenderOptions) {}

  /** Takes the dispatcher's pending effects and carries them out. */
  sendEffects(): void {
    for (const effect of this.options.dispatcher.takeEffects()) {
      this.sendEffect(effect);
    }
  }

  private sendEffect<Kind extends EffectKind>(effect: EffectOf<Kind>): void {
    const handle = this.handlers[effect.kind as Kind] as (effect: EffectOf<Kind>) => void;
    handle(effect);
  }

  /** Queues a write of a known job's progress; `handleWritten` is called once it is durable. */
  private queueProgressRecord(id: JobId, handleWritten?: () => void): void {
    const job = this.options.dispatcher.getJob(id);
    if (job !== undefined) {
      this.options.journal.queueJobProgress(job.definition, job.progress, handleWritten);
    }
  }

  private queueJobState(id: JobId): void {
    const job = this.options.dispatcher.getJob(id);
    if (job !== undefined) {
      this.options.journal.queueJobState(id, job.progress.getState());
    }
  }
}
