import type { CustomerMetrics } from './CustomerMetrics';

/** Maximum number of customers in the text. */
const MAX_LISTED_CUSTOMERS = 250;

type MetricName = 'running_tasks' | 'running_cpu_millis' | 'waiting_tasks' | 'limit_cpu_millis';

const METRIC_GETTERS: Readonly<Record<MetricName, (metrics: CustomerMetrics) => number>> = {
  running_tasks: ({ runCount }) => runCount,
  running_cpu_millis: ({ usedResources }) => usedResources.cpuMillis,
  waiting_tasks: ({ waitingTaskCount }) => waitingTaskCount,
  limit_cpu_millis: ({ limit }) => limit.cpuMillis,
};

/** Escapes a name for the value of a label in the Prometheus text format. */
const toLabelValue = (name: string): string =>
  name.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');

/**
 * Formats the metrics of customers in the Prometheus text format, for a bounded number of customers: those with most runs, then with most
 * waiting tasks.
 */
export const formatCustomerMetrics = (all: readonly CustomerMetrics[]): string => {
  const shown = [...all]
    .sort((left, right) => right.runCount - left.runCount || right.waitingTaskCount - left.waitingTaskCount)
    .slice(0, MAX_LISTED_CUSTOMERS);
  const lines = Object.entries(METRIC_GETTERS).flatMap(([name, getValue]) =>
    shown.map(
      (metrics) =>
        `stairline_customer_${name}{customer="${toLabelValue(metrics.customer)}"} ${getValue(metrics)}`,
    ),
  );
  return lines.map((line) => `${line}\n`).join('');
};
