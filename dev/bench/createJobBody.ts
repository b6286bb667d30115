const MIN_SPEC_BYTES = 200;
const STEP_TASKS = 10;

const createStep = (number: number): string =>
  JSON.stringify({
    count: STEP_TASKS,
    cpu: 1000,
    'mem-mb': 512,
    'estimated-ms': 20_000,
    'depends-on': number === 0 ? [] : [number - 1],
    image: 'registry.example/plan-refresh:17',
  });

/** Creates the body of a valid job of exactly so many bytes: a chain of steps, and a short specification that fills the rest. */
export const createJobBody = (bytes: number): string => {
  const formatBody = (spec: string, steps: readonly string[]): string =>
    `{"spec":"${spec}","steps":[${steps.join(',')}]}`;
  const steps: string[] = [];
  let length = formatBody('', []).length + MIN_SPEC_BYTES;
  for (let step = createStep(0); length + step.length + 1 <= bytes; step = createStep(steps.length)) {
    steps.push(step);
    length += step.length + 1;
  }
  return formatBody('s'.repeat(bytes - formatBody('', steps).length), steps);
};
