import type { CustomerMetrics } from './CustomerMetrics';

/** Maximum number of customers in the text. Those with most runs are included. */
const MAX_CUSTOMERS = 250;

type MetricName = 'running_tasks' | 'running_cpu_millis' | 'waiting_tasks' | 'limit_cpu_millis';

const METRICS: Readonly<Record<MetricName, (metrics: CustomerMetrics) => number>> = {
  running_tasks: ({ runs }) => runs,
  running_cpu_millis: ({ used }) => used.cpuMillis,
  waiting_tasks: ({ waiting }) => waiting,
  limit_cpu_millis: ({ limit }) => limit.cpuMillis,
};

/** Escapes a name for the value of a label. */
const toLabelValue = (name: string): string =>
  name.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');

/** Formats the metrics of customers in the Prometheus text format. */
export const formatCustomerMetrics = (all: readonly CustomerMetrics[]): string => {
  const shown = [...all]
    .sort((left, right) => right.runs - left.runs || right.waiting - left.waiting)
    .slice(0, MAX_CUSTOMERS);
  const lines = Object.entries(METRICS).flatMap(([name, getValue]) =>
    shown.map(
      (metrics) =>
        `stairline_customer_${name}{customer="${toLabelValue(metrics.name)}"} ${getValue(metrics)}`,
    ),
  );
  return lines.map((line) => `${line}\n`).join('');
};
