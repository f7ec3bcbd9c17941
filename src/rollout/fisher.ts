/**
 * One-sided exact test of Fisher for two shares.
 *
 * @module
 */

/** Number of trials and how many of them were bad. */
export interface Sample {
  readonly total: number;
  readonly bad: number;
}

/** Coefficients of the approximation of Lanczos for the gamma function. */
const LANCZOS = [
  76.18009172947146,
  -86.50532032941677,
  24.01409824083091,
  -1.231739572450155,
  0.1208650973866179e-2,
  -0.5395239384953e-5,
];

/** Natural logarithm of n factorial. */
function logFactorial(n: number): number {
  const x = n + 1;
  const base = x + 5.5 - (x + 0.5) * Math.log(x + 5.5);
  const series = LANCZOS
    .reduce((sum, c, i) => sum + c / (x + i + 1), 1.000000000190015);
  return -base + Math.log(2.5066282746310005 * series / x);
}

function logChoose(n: number, k: number): number {
  return logFactorial(n) - logFactorial(k) - logFactorial(n - k);
}

/**
 * Probability that `tested` has as many bad trials as it has, or more, when both
 * samples have the same share of bad trials.
 */
export function worseProbability(tested: Sample, base: Sample): number {
  const bad = tested.bad + base.bad;
  const total = tested.total + base.total;
  const most = Math.min(bad, tested.total);
  const all = logChoose(total, bad);
  const terms = Array.from(
    { length: Math.max(0, most - tested.bad + 1) },
    (_, i) => {
      const k = tested.bad + i;
      const rest = bad - k;
      return rest > base.total ? 0 : Math.exp(
        logChoose(tested.total, k) + logChoose(base.total, rest) - all,
      );
    },
  );
  return Math.min(1, terms.reduce((sum, one) => sum + one, 0));
}
