import type { CustomerMetrics } from './CustomerMetrics';

/** Most customers whose figures are given, those with most runs first, so that the text stays small. */
const MAX_CUSTOMERS = 250;

type MetricName = 'running_tasks' | 'running_cpu_millis' | 'waiting_tasks' | 'limit_cpu_millis';

const METRICS: Readonly<Record<MetricName, (figures: CustomerMetrics) => number>> = {
  running_tasks: ({ runs }) => runs,
  running_cpu_millis: ({ used: taken }) => taken.cpuMillis,
  waiting_tasks: ({ waiting }) => waiting,
  limit_cpu_millis: ({ limit }) => limit.cpuMillis,
};

/** A name as the value of a label: backslashes, quotes and line ends are escaped. */
const toLabel = (name: string): string =>
  name.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');

/** Formats customers' figures in the text form that collectors read. */
export const formatCustomerMetrics = (all: readonly CustomerMetrics[]): string => {
  const shown = [...all]
    .sort((left, right) => right.runs - left.runs || right.waiting - left.waiting)
    .slice(0, MAX_CUSTOMERS);
  const lines = Object.entries(METRICS).flatMap(([metric, readValue]) =>
    shown.map(
      (figures) => `stairline_customer_${metric}{customer="${toLabel(figures.name)}"} ${readValue(figures)}`,
    ),
  );
  return lines.map((line) => `${line}\n`).join('');
};
