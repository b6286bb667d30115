import type { BenchSection } from './BenchSection';
import { controlSection } from './controlSection';
import { customersSection } from './customersSection';
import { decisionSection } from './decisionSection';
import { frontSection } from './frontSection';
import { leaderSection } from './leaderSection';
import { memorySection } from './memorySection';
import { outageSection } from './outageSection';
import { overloadSection } from './overloadSection';
import { policySection } from './policySection';
import { roundsSection } from './roundsSection';

/** All sections, in the order of the report. */
export const benchSections: readonly BenchSection[] = [
  decisionSection,
  leaderSection,
  roundsSection,
  customersSection,
  policySection,
  overloadSection,
  memorySection,
  frontSection,
  controlSection,
  outageSection,
];
