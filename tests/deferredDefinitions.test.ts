import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { formatDefinition } from '../packages/jobs/formatDefinition';
import type { JobId } from '../packages/jobs/JobId';
import { jobKeys } from '../packages/jobs/jobKeys';
import { JobReplica } from '../packages/jobs/JobReplica';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

const JOBS = [1, 2, 3].map((number) => createJobDefinition(number, [createStep({ count: 1 })]));
const [FIRST, SECOND, THIRD] = JOBS as [(typeof JOBS)[0], (typeof JOBS)[0], (typeof JOBS)[0]];
const QUEUE = FIRST.queue.name;
const CALLER = { queue: QUEUE, isOpen: true };
const MALFORMED = toId<JobId>('00000000000000ff');

const toWrite = (definition: (typeof JOBS)[0]): { key: string; value: string } => ({
  key: jobKeys.toDefinitionKey(definition.id),
  value: formatDefinition(definition),
});

describe('a replica that puts off the parsing of definitions', () => {
  let canDefer = true;
  let invalid: JobId[];
  let replica: JobReplica;

  beforeEach(() => {
    canDefer = true;
    invalid = [];
    replica = new JobReplica({ canDeferParsing: () => canDefer, handleInvalid: (id) => invalid.push(id) });
    replica.foldJobRecords([...JOBS.map(toWrite), { key: jobKeys.toDefinitionKey(MALFORMED), value: '{' }]);
  });

  it('knows each job, its state and its access as if all had been parsed', () => {
    expect(replica.getDefinition(FIRST.id)).toEqual(FIRST);
    expect(replica.getState(SECOND.id)).toBe('queued');
    expect(replica.countJobs()).toBe(4);
    expect(replica.listDefinitionsInOrder()).toEqual(JOBS);
  });

  it('gives a new leader all jobs, and those accepted later when they are read', () => {
    expect(replica.listDefinitionsInOrder()).toEqual(JOBS);
    canDefer = false;
    const later = createJobDefinition(4, [createStep({ count: 1 })]);
    expect(replica.foldJobRecords([toWrite(later)]).accepted).toEqual([later]);
    expect(replica.foldJobRecords(JOBS.map(toWrite)).accepted).toEqual([]);
  });

  it('counts pending jobs without those that are malformed, have a state or are cancelled', () => {
    replica.setState(FIRST.id, 'running');
    replica.foldJobRecords([{ key: jobKeys.toCancelKey(SECOND.id), value: '1' }]);
    expect(replica.countPending(QUEUE)).toBe(1);
    expect(invalid).toEqual([MALFORMED]);
    expect(replica.getState(MALFORMED)).toBeUndefined();
  });

  it('reports a malformed definition once, and accepts a valid one after it', () => {
    expect(replica.getDefinition(MALFORMED)).toBeUndefined();
    expect(replica.getDefinition(MALFORMED)).toBeUndefined();
    expect(invalid).toEqual([MALFORMED]);
    const valid = { ...THIRD, id: MALFORMED };
    replica.foldJobRecords([toWrite(valid)]);
    expect(replica.getDefinition(MALFORMED)).toEqual(valid);
  });

  it('replaces a malformed definition that it has not looked at by a valid one', () => {
    const valid = { ...THIRD, id: MALFORMED };
    replica.foldJobRecords([toWrite(valid)]);
    expect(replica.getDefinition(MALFORMED)).toEqual(valid);
  });

  it('cancels a job whose cancellation by a caller with access is read before or after it', () => {
    const later = createJobDefinition(5, [createStep({ count: 1 })]);
    const caller = { ...CALLER, queue: later.queue.name };
    expect(replica.recordEarlyCancel(later.id, caller)).toBe(false);
    replica.foldJobRecords([toWrite(later)]);
    expect(replica.getState(later.id)).toBe('cancelled');
    expect(replica.recordEarlyCancel(FIRST.id, caller)).toBe(true);
    expect(replica.getState(FIRST.id)).toBe('cancelled');
  });

  it('forgets a job whose record is deleted', () => {
    replica.foldJobRecords([{ key: jobKeys.toDefinitionKey(FIRST.id), value: '' }]);
    expect(replica.getDefinition(FIRST.id)).toBeUndefined();
    expect(replica.listDefinitionsInOrder()).toEqual([SECOND, THIRD]);
  });
});
