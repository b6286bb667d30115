import { parseJson } from '../common/parseJson';
import { hasAccess } from '../customers/hasAccess';
import type { JobCaller } from '../customers/JobCaller';
import { jobCallerSchema } from '../customers/jobCallerSchema';
import type { LogRecord } from '../store/LogRecord';
import type { LogWrite } from '../store/LogWrite';
import type { JobDefinition } from './JobDefinition';
import { JobDefinitions } from './JobDefinitions';
import type { JobId } from './JobId';
import { jobKeys } from './jobKeys';
import { jobStates } from './jobStates';
import type { JobState } from './JobState';
import { parseDefinition } from './parseDefinition';

interface ReplicaChange {
  readonly accepted: readonly JobDefinition[];
  readonly cancelled: readonly JobId[];
  /** Jobs whose records fail validation, which foreign writers can cause. They are skipped. */
  readonly invalid: readonly JobId[];
}

interface JobReplicaOptions {
  /** Returns whether definitions may be parsed when they are first needed, and not when their records are folded. */
  readonly canDeferParsing: () => boolean;
  /** Called when a definition that is parsed later is malformed. The job is skipped. */
  readonly handleInvalid: (id: JobId) => void;
}

/** All jobs in the log: accepted definitions, cancellations, and the newest state of each job. */
export class JobReplica {
  private readonly definitions: JobDefinitions;
  private readonly cancelledIds = new Set<JobId>();
  /** Callers that have cancelled jobs whose definitions are not known yet, by the keys of their records. */
  private readonly earlyCancels = new Map<JobId, Map<string, JobCaller>>();
  /** States written by leaders; a job without one is queued. */
  private readonly writtenStates = new Map<JobId, JobState>();

  /** Without options each definition is parsed when its record is folded. */
  constructor(private readonly options?: JobReplicaOptions) {
    this.definitions = new JobDefinitions((id) => options?.handleInvalid(id));
  }

  /**
   * Folds records of the jobs' topic, and returns the jobs and cancellations that were not known, without jobs whose definitions are parsed later. An
   * empty definition removes the job, but not its cancellation, which is a record of its own.
   */
  foldJobRecords(records: readonly LogWrite[]): ReplicaChange {
    const accepted: JobDefinition[] = [];
    const cancelled: JobId[] = [];
    const invalid: JobId[] = [];
    const canDefer = this.options?.canDeferParsing() ?? false;
    for (const record of records) {
      const definitionId = jobKeys.parseDefinitionKey(record.key);
      const cancelId = jobKeys.parseCancelKey(record.key);
      const earlyCancelId = jobKeys.parseEarlyCancelKey(record.key);
      if (definitionId !== undefined) {
        const definition = this.foldDefinition(definitionId, record.value, canDefer);
        if (definition === 'unreadable') {
          invalid.push(definitionId);
        } else if (definition !== undefined) {
          accepted.push(definition);
        }
      } else if (cancelId !== undefined && this.foldCancel(cancelId, record.value)) {
        cancelled.push(cancelId);
      } else if (earlyCancelId !== undefined && record.value !== '') {
        const caller = jobCallerSchema.safeParse(parseJson(record.value)).data;
        if (caller === undefined) {
          invalid.push(earlyCancelId);
        } else if (this.recordEarlyCancel(earlyCancelId, caller)) {
          cancelled.push(earlyCancelId);
        }
      }
    }
    return { accepted, cancelled, invalid };
  }

  /** Adds a job whose record is in the log, cancelled if a caller with access to it has cancelled it before. Returns false when its id is known already. */
  recordDefinition(definition: JobDefinition): boolean {
    if (this.getDefinition(definition.id) !== undefined) {
      return false;
    }
    this.definitions.addDefinition(definition);
    const callers = [...(this.earlyCancels.get(definition.id)?.values() ?? [])];
    if (callers.some((caller) => hasAccess(caller, definition))) {
      this.cancelledIds.add(definition.id);
    }
    this.earlyCancels.delete(definition.id);
    return true;
  }

  /** Adds a cancellation whose record is in the log. Returns false when the cancellation is known already. */
  recordCancel(id: JobId): boolean {
    if (this.cancelledIds.has(id)) {
      return false;
    }
    this.cancelledIds.add(id);
    return true;
  }

  /**
   * Adds the cancellation of a job that was unknown to the box that wrote it. It counts if the caller turns out to have access to the job. Returns true
   * if this cancels a known job.
   */
  recordEarlyCancel(id: JobId, caller: JobCaller): boolean {
    const definition = this.getDefinition(id);
    if (definition !== undefined) {
      return hasAccess(caller, definition) && this.recordCancel(id);
    }
    const callers = this.earlyCancels.get(id) ?? new Map<string, JobCaller>();
    this.earlyCancels.set(id, callers.set(jobKeys.toEarlyCancelKey(id, caller), caller));
    return false;
  }

  /** Folds the job states among records of the states' topic. An invalid or empty state is removed, so that the job is queued again. */
  foldStateRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      const id = jobKeys.parseStateKey(key);
      const state = jobStates.parseState(value);
      if (id === undefined) {
        continue;
      }
      if (state === undefined) {
        this.writtenStates.delete(id);
      } else {
        this.writtenStates.set(id, state);
      }
    }
  }

  /** Sets a newer state that this process has written, before it is read from the log. */
  setState(id: JobId, state: JobState): void {
    this.writtenStates.set(id, state);
  }

  /** Returns the newest state written by a leader; `queued` without one. Cancellations do not count. */
  getWrittenState(id: JobId): JobState {
    return this.writtenStates.get(id) ?? 'queued';
  }

  getDefinition(id: JobId): JobDefinition | undefined {
    return this.definitions.getDefinition(id);
  }

  countJobs(): number {
    return this.definitions.countDefinitions();
  }

  /** Lists all jobs in order of acceptance time, then of id. The order is the same in every process. */
  listDefinitionsInOrder(): readonly JobDefinition[] {
    return [...this.definitions.listDefinitions(() => true)].sort(
      (left, right) => left.acceptedAtMs - right.acceptedAtMs || (left.id < right.id ? -1 : 1),
    );
  }

  isCancelled(id: JobId): boolean {
    return this.cancelledIds.has(id);
  }

  /**
   * Returns the state as callers see it: `cancelled` from the cancellation on, unless the job has completed or failed; undefined for an unknown job.
   */
  getState(id: JobId): JobState | undefined {
    if (this.getDefinition(id) === undefined) {
      return undefined;
    }
    const state = this.getWrittenState(id);
    const isEnded = state === 'completed' || state === 'failed';
    return this.cancelledIds.has(id) && !isEnded ? 'cancelled' : state;
  }

  /** Counts the jobs of a queue that have neither a state from a leader nor been cancelled. */
  countPending(queueName: string): number {
    const pending = this.definitions.listDefinitions((id) => this.isPending(id));
    return pending.filter(({ queue }) => queue.name === queueName).length;
  }

  /** Returns whether the job has neither a state from a leader nor been cancelled. */
  private isPending(id: JobId): boolean {
    return !this.writtenStates.has(id) && !this.cancelledIds.has(id);
  }

  private foldDefinition(
    id: JobId,
    value: string,
    canDefer: boolean,
  ): JobDefinition | 'unreadable' | undefined {
    if (value === '') {
      this.definitions.removeDefinition(id);
      return undefined;
    }
    if (this.definitions.hasText(id, value) || this.getDefinition(id) !== undefined) {
      return undefined;
    }
    // Whether a cancellation that came first holds depends on the definition.
    if (canDefer && !this.earlyCancels.has(id)) {
      this.definitions.addText(id, value);
      return undefined;
    }
    const definition = parseDefinition(id, value);
    if (definition === undefined) {
      return 'unreadable';
    }
    return this.recordDefinition(definition) ? definition : undefined;
  }

  private foldCancel(id: JobId, value: string): boolean {
    return value !== '' && this.recordCancel(id);
  }
}
