import { formatColumns } from '../../packages/cli/formatColumns';
import { toId } from '../../packages/common/toId';
import { CustomerDirectory } from '../../packages/customers/CustomerDirectory';
import type { CustomerName } from '../../packages/customers/CustomerName';
import type { CustomerPolicy } from '../../packages/customers/CustomerPolicy';
import { toKeyDigest } from '../../packages/customers/toKeyDigest';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndpointId } from '../../packages/jobs/EndpointId';
import { endpointIncarnations } from '../../packages/jobs/endpointIncarnations';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { ServiceName } from '../../packages/jobs/ServiceName';
import type { BenchSection } from './BenchSection';
import { measureHeap } from './measureHeap';

const CUSTOMER_COUNTS = [0, 20, 210, 2000];
const ENDPOINTS = 245;
const JOBS = 600;
const TASKS = 20;
const CHECKS = 20_000;
const ROUNDS = 200;
const MEMORY_CUSTOMERS = 20_000;
const BYTES_PER_MB = 1_048_576;
const KEYS_EACH = 2;
const SERVICE = toId<ServiceName>('service-a');
const ENDPOINT_CAPACITY = { cpuMillis: 32_000, memoryMb: 64_000, accelerators: 0 };
const TASK_DEMAND = { cpuMillis: 4500, memoryMb: 6400, accelerators: 0 };
const UNLIMITED = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

const toName = (number: number): CustomerName => toId<CustomerName>(`customer-${number}`);

const createCustomers = (count: number): readonly CustomerPolicy[] =>
  Array.from({ length: count }, (_, number) => ({
    name: toName(number),
    keys: Array.from({ length: KEYS_EACH }, (_key, index) => toKeyDigest(`key-${number}-${index}`)),
    weight: 1,
    limit: UNLIMITED,
  }));

const readQuantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** Times each call in microseconds; gives median and 99th percentile. */
const measureCalls = (count: number, call: (number: number) => void): readonly string[] => {
  const times: number[] = [];
  for (let number = 0; number < count; number += 1) {
    const startedAt = performance.now();
    call(number);
    times.push((performance.now() - startedAt) * 1000);
  }
  times.sort((left, right) => left - right);
  return [readQuantile(times, 0.5).toFixed(1), readQuantile(times, 0.99).toFixed(1)];
};

const createJob = (number: number, customerCount: number): JobDefinition => ({
  id: toId<JobId>(number.toString(16).padStart(16, '0')),
  queue: {
    name: 'jobs',
    service: SERVICE,
    priority: 0,
    attempts: 3,
    stretch: 1.5,
    targetLatencyMs: 250,
  },
  ...(customerCount === 0
    ? {}
    : { customer: { name: toName(number % customerCount), weight: 0, limit: UNLIMITED } }),
  spec: '',
  steps: [
    {
      count: TASKS,
      demand: TASK_DEMAND,
      estimatedMs: 640,
      dependsOn: [],
      isGang: false,
      isSameRack: false,
      requiredLabel: '',
      dataRack: '',
      maxPerEndpoint: 0,
      allowsDuplicates: false,
      isLongRunning: false,
      isCheckpointing: false,
      image: '',
      targetMs: 0,
      isFiller: false,
      missAllowed: 0,
    },
  ],
  times: 1,
  firstRunMs: 0,
  intervalMs: 0,
  acceptedAtMs: number,
});

/** A leader of full endpoints with more jobs than they hold; with limits that bind, room is left and customers hold the rest. */
const createBusyDispatcher = (customerCount: number, cpuMillis: number): Dispatcher => {
  const dispatcher = new Dispatcher({
    getDefinition: () => undefined,
    earlierLeasesEndAt: 0,
    getCustomerLimit: () => ({ ...UNLIMITED, cpuMillis }),
  });
  for (let number = 0; number < ENDPOINTS; number += 1) {
    const id = toId<EndpointId>(`i-${number}`);
    const life = endpointIncarnations.toIncarnation(id, undefined);
    dispatcher.handleEndpointProfile({
      id,
      incarnation: life,
      service: SERVICE,
      address: `${id}:80`,
      hall: 'hall-a',
      capacity: ENDPOINT_CAPACITY,
      labels: [],
      isDraining: false,
      minDrainMs: 0,
    });
    dispatcher.handleStatus({ endpoint: life, running: [], ended: [], pollSentAt: 0 }, 0, 0);
  }
  for (let number = 0; number < JOBS; number += 1) {
    const job = createJob(number, customerCount);
    dispatcher.handleJob(job, new JobProgress(job), 0);
  }
  dispatcher.placeWaiting(1, 1);
  dispatcher.takeEffects();
  return dispatcher;
};

const measureRounds = (customerCount: number, cpuMillis: number): readonly string[] => {
  const dispatcher = createBusyDispatcher(customerCount, cpuMillis);
  return measureCalls(ROUNDS, (round) => {
    const job = createJob(JOBS + round, customerCount);
    dispatcher.handleJob(job, new JobProgress(job), round);
    dispatcher.placeWaiting(2 + round, 2 + round);
    dispatcher.takeEffects();
  });
};

const measureCount = (count: number): readonly unknown[] => {
  const directory = new CustomerDirectory(createCustomers(count));
  const check = measureCalls(CHECKS, (number) => directory.findByKey(`key-${number % (count + 1)}-1`));
  // Half of what the endpoints hold, dealt evenly.
  const bindingMillis = Math.max(
    TASK_DEMAND.cpuMillis,
    (ENDPOINTS * ENDPOINT_CAPACITY.cpuMillis) / 2 / (count || 1),
  );
  const free = measureRounds(count, 0);
  const bound = count === 0 ? ['', ''] : measureRounds(count, bindingMillis);
  return [count, ...check, ...free, ...bound];
};

/** Heap of one customer with its keys; of many, so that other changes of the heap do not count. */
const measureBytes = (): number => {
  const before = measureHeap();
  const directory = new CustomerDirectory(createCustomers(MEMORY_CUSTOMERS));
  const after = measureHeap();
  return directory.findByKey('') === undefined ? ((after - before) * BYTES_PER_MB) / MEMORY_CUSTOMERS : 0;
};

/** What keys and limits cost by the number of customers. */
export const customersSection: BenchSection = {
  name: 'customers',
  about: `${CHECKS} checks of a key; rounds of a leader with ${ENDPOINTS} endpoints and ${JOBS} jobs of ${TASKS} tasks, one new job each`,
  measure: () => {
    const heads = [
      'customers',
      'key p50 µs',
      'p99',
      'round, no limits: p50 µs',
      'p99',
      'limits that bind: p50 µs',
      'p99',
    ];
    const bytes = `Heap of a customer with ${KEYS_EACH} keys: ${Math.round(measureBytes())} bytes.`;
    return Promise.resolve(`${formatColumns(heads, CUSTOMER_COUNTS.map(measureCount))}\n${bytes}`);
  },
};
