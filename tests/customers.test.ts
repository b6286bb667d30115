import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { checkCaller } from '../packages/customers/checkCaller';
import { CustomerDirectory } from '../packages/customers/CustomerDirectory';
import { customerLimits } from '../packages/customers/customerLimits';
import type { CustomerName } from '../packages/customers/CustomerName';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { formatCustomerMetrics } from '../packages/customers/formatCustomerMetrics';
import { hasAccess } from '../packages/customers/hasAccess';
import { toKeyDigest } from '../packages/customers/toKeyDigest';
import { configurationSchema } from '../packages/gateway/configurationSchema';
import { QueueRouter } from '../packages/gateway/QueueRouter';
import { definitionSchema } from '../packages/jobs/definitionSchema';
import { formatDefinition } from '../packages/jobs/formatDefinition';
import { parseCallerKey } from '../platform/parseCallerKey';
import { parseConfiguration } from '../platform/parseConfiguration';
import { createCustomer } from './helpers/createCustomer';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

const KEYS = {
  clinic: 'key-of-the-clinic',
  clinicSecond: 'second-key-of-the-clinic',
  builders: 'key-of-builders',
};

const createTenant = (name: string, keys: readonly string[], fields: object = {}): object => ({
  name,
  'api-keys': keys,
  weight: 3,
  'upper-limit': { cpu: 8000, 'mem-mb': 0, gpu: 0 },
  ...fields,
});

const createRoute = (name: string, fields: object = {}): object => ({
  name,
  host: 'jobs.example',
  'path-prefix': `/${name}/`,
  service: 'service-a',
  ...fields,
});

const createConfiguration = (version: number, tenants?: readonly object[]): string =>
  JSON.stringify({
    version,
    routes: [createRoute('jobs'), createRoute('open', { 'auth-exempt': true })],
    ...(tenants === undefined ? {} : { tenants }),
  });

const TENANTS = [
  createTenant('clinic', [KEYS.clinic, KEYS.clinicSecond]),
  createTenant('builders', [KEYS.builders]),
];

const createRouter = (text: string): QueueRouter => {
  const router = new QueueRouter();
  const parsed = parseConfiguration(text);
  if (!parsed.ok) {
    throw new Error(parsed.error.join('; '));
  }
  router.applyConfiguration(parsed.value);
  return router;
};

describe('API keys of customers', () => {
  const router = createRouter(createConfiguration(1, TENANTS));

  const checkHeader = (path: string, header: string | undefined, isFresh = true) => {
    const { isOpen } = router.findRoute('jobs.example', path)!;
    const key = parseCallerKey(header);
    const check = checkCaller({ key, isOpen, customers: router.getCustomers(), isConfigFresh: isFresh });
    return check.kind === 'admitted' ? (check.customer?.name ?? 'nobody') : check;
  };

  it('each admit their customer', () => {
    expect(checkHeader('/jobs/', `Token ${KEYS.clinic}`)).toBe('clinic');
    expect(checkHeader('/jobs/', `token  ${KEYS.clinicSecond} `)).toBe('clinic');
    expect(checkHeader('/jobs/', `Token ${KEYS.builders}`)).toBe('builders');
  });

  it.each([
    [undefined, 'no key'],
    ['  ', 'no key'],
    ['Token', 'malformed key'],
    ['Token two words', 'malformed key'],
    [`Bearer ${KEYS.clinic}`, 'malformed key'],
    [KEYS.clinic, 'malformed key'],
    ['Token key-of-nobody', 'unknown key'],
    [`Token ${KEYS.clinic}x`, 'unknown key'],
    ['Token __proto__', 'unknown key'],
  ])('are refused when missing, malformed or unknown: %s', (header, reason) => {
    expect(checkHeader('/jobs/', header)).toEqual({ kind: 'refused', reason });
  });

  it('are optional on queues that are open to all, and identify the customer when sent', () => {
    expect(checkHeader('/open/', undefined)).toBe('nobody');
    expect(checkHeader('/open/', 'Token key-of-nobody')).toBe('nobody');
    expect(checkHeader('/open/', `Token ${KEYS.clinic}`)).toBe('clinic');
  });

  it('are optional everywhere when the configuration has no list of customers, and required by default when it has', () => {
    expect(createRouter(createConfiguration(1)).findRoute('jobs.example', '/jobs/')?.isOpen).toBe(true);
    expect(createRouter(createConfiguration(1, [])).findRoute('jobs.example', '/jobs/')?.isOpen).toBe(false);
  });

  it('are neither admitted nor refused on closed queues while a fresh configuration is required and missing', () => {
    expect(checkHeader('/jobs/', `Token ${KEYS.clinic}`, false)).toEqual({ kind: 'stale' });
    expect(checkHeader('/open/', undefined, false)).toBe('nobody');
  });

  it('are revoked by the version that removes them, and not restored by an older version', () => {
    const changing = createRouter(createConfiguration(1, TENANTS));
    const newer = parseConfiguration(createConfiguration(2, [createTenant('clinic', [KEYS.clinicSecond])]));
    const older = parseConfiguration(createConfiguration(1, TENANTS));
    if (!newer.ok || !older.ok) {
      throw new Error('malformed');
    }
    expect(changing.applyConfiguration(newer.value)).toBe(true);
    expect(changing.applyConfiguration(older.value)).toBe(false);
    expect(changing.getCustomers().findByKey(KEYS.clinic)).toBeUndefined();
    expect(changing.getCustomers().findByKey(KEYS.builders)).toBeUndefined();
    expect(changing.getCustomers().findByKey(KEYS.clinicSecond)?.name).toBe('clinic');
  });

  it('are stored and sent to other boxes as digests only', () => {
    const stored = JSON.stringify(router.getConfiguration());
    Object.values(KEYS).forEach((key) => expect(stored).not.toContain(key));
    expect(stored).toContain(toKeyDigest(KEYS.clinic));
    const sent = configurationSchema.parse(JSON.parse(stored));
    expect(new CustomerDirectory(sent.customers).findByKey(KEYS.clinic)?.name).toBe('clinic');
    expect(sent).toEqual(router.getConfiguration());
  });
});

describe('an invalid configuration', () => {
  it('is refused with all problems at once', () => {
    const text = JSON.stringify({
      version: 1,
      routes: [{ name: 'jobs' }],
      tenants: [{ name: '', 'upper-limit': { cpu: -1 } }],
    });
    const parsed = parseConfiguration(text);
    const paths = parsed.ok ? [] : parsed.error.map((problem) => problem.split(':')[0]);
    expect(paths).toEqual(
      expect.arrayContaining([
        'routes.0.host',
        'routes.0.service',
        'tenants.0.name',
        'tenants.0.upper-limit.cpu',
      ]),
    );
  });

  it('is refused when two customers share a name or a key, without revealing the key', () => {
    const parsed = parseConfiguration(
      createConfiguration(1, [
        createTenant('clinic', [KEYS.clinic]),
        createTenant('clinic', []),
        createTenant('builders', [KEYS.clinic]),
      ]),
    );
    expect(parsed).toEqual({
      ok: false,
      error: ['tenants: clinic stands there twice', 'tenants: key 0 of builders is also a key of clinic'],
    });
  });

  it.each(['', '[]', 'null', '{'])('is refused when it has another shape: %j', (text) => {
    expect(parseConfiguration(text).ok).toBe(false);
  });
});

describe('access to a job', () => {
  const ownJob = { ...createJobDefinition(1, [createStep()]), customer: createCustomer('clinic') };
  const anonymousJob = createJobDefinition(2, [createStep()]);
  const clinic = toId<CustomerName>('clinic');
  const builders = toId<CustomerName>('builders');

  it('is granted to its own customer', () => {
    expect(hasAccess({ queue: 'jobs', isOpen: false, customer: clinic }, ownJob)).toBe(true);
    expect(hasAccess({ queue: 'jobs', isOpen: false, customer: builders }, ownJob)).toBe(false);
  });

  it('is granted to anyone on the open queue it was submitted to, but not through another open queue', () => {
    expect(hasAccess({ queue: 'jobs', isOpen: true }, ownJob)).toBe(true);
    expect(hasAccess({ queue: 'other', isOpen: true }, ownJob)).toBe(false);
    expect(hasAccess({ queue: 'jobs', isOpen: false }, anonymousJob)).toBe(true);
  });
});

describe('limits of customers', () => {
  const limit = createCustomer('clinic', { cpuMillis: 8000, memoryMb: 1000 }).limit;
  const noLimit = createCustomer('clinic').limit;
  const demand = { cpuMillis: 3000, memoryMb: 100, accelerators: 1 };

  it('count in the scarcest dimension, and not in dimensions without a limit', () => {
    expect(customerLimits.countFittingTasks(limit, noLimit, demand)).toBe(2);
    expect(customerLimits.countFittingTasks(limit, { ...noLimit, memoryMb: 950 }, demand)).toBe(0);
    expect(customerLimits.countFittingTasks(noLimit, { ...noLimit, cpuMillis: 1e9 }, demand)).toBe(Infinity);
  });

  it('that have been lowered below the current usage allow no further task', () => {
    expect(customerLimits.countFittingTasks(limit, { ...noLimit, cpuMillis: 20_000 }, demand)).toBe(0);
  });

  it('reject a task or a whole gang that exceeds them', () => {
    const large = createStep({ demand: { ...demand, cpuMillis: 9000 } });
    const wide = createStep({ count: 20, demand });
    expect(customerLimits.checkSteps([wide], limit)).toBeUndefined();
    expect(customerLimits.checkSteps([wide, large], limit)).toBe(
      'steps[1]: one task is more than the customer may ever have running',
    );
    expect(customerLimits.checkSteps([{ ...wide, isGang: true }], limit)).toBe(
      'steps[0]: a gang of 20 is more than the customer may ever have running',
    );
    expect(customerLimits.checkSteps([large], noLimit)).toBeUndefined();
  });

  it('are stored with the job in the log; jobs of earlier versions have none', () => {
    const definition = {
      ...createJobDefinition(1, [createStep()]),
      customer: createCustomer('clinic', limit),
    };
    expect(definitionSchema.parse(JSON.parse(formatDefinition(definition)))).toEqual(definition);
    const earlier = createJobDefinition(2, [createStep()]);
    expect(definitionSchema.parse(JSON.parse(formatDefinition(earlier)))).toEqual(earlier);
  });
});

describe('the metrics of customers', () => {
  it('are labelled with the escaped name, for a bounded number of customers', () => {
    const metrics = {
      customer: toId<CustomerName>('a "b"\\'),
      usedResources: { cpuMillis: 1500, memoryMb: 0, accelerators: 0 },
      runCount: 2,
      waitingTaskCount: 7,
      limit: { cpuMillis: 4000, memoryMb: 0, accelerators: 0 },
    };
    expect(formatCustomerMetrics([metrics]).split('\n')).toEqual([
      'stairline_customer_running_tasks{customer="a \\"b\\"\\\\"} 2',
      'stairline_customer_running_cpu_millis{customer="a \\"b\\"\\\\"} 1500',
      'stairline_customer_waiting_tasks{customer="a \\"b\\"\\\\"} 7',
      'stairline_customer_limit_cpu_millis{customer="a \\"b\\"\\\\"} 4000',
      '',
    ]);
    const many = Array.from({ length: 2000 }, (_, runCount) => ({ ...metrics, runCount }));
    expect(formatCustomerMetrics(many).split('\n').length).toBeLessThan(1100);
    expect(formatCustomerMetrics(many)).toContain('} 1999\n');
  });
});

describe('the usage of customers', () => {
  const run = {
    customer: toId<CustomerName>('clinic'),
    charge: { cpuMillis: 3, memoryMb: 2, accelerators: 1 },
  };

  it('follows starts and ends of runs, and drops customers without runs', () => {
    const usage = new CustomerUsage();
    usage.recordRun(run);
    usage.recordRun(run);
    usage.recordRun({ ...run, customer: undefined });
    expect(usage.getUsedResources(run.customer)).toEqual({ cpuMillis: 6, memoryMb: 4, accelerators: 2 });
    usage.recordRunEnd(run);
    usage.recordRunEnd(run);
    expect(usage.getAllUsages().size).toBe(0);
  });
});
