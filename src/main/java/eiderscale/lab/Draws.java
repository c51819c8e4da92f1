package eiderscale.lab;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Times by distribution: lognormal with a mean and a coefficient of variation, or always the mean. */
public final class Draws {
    private final SharedStateContinuousSampler sampler;
    private final long mean;

    /** {@code mean} in nanoseconds; {@code cv}: standard deviation beside the mean. */
    public Draws(UniformRandomProvider luck, long mean, double cv) {
        this.mean = mean;
        double variance = Math.log(1 + cv * cv);
        this.sampler = cv == 0 ? null : LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(luck),
                Math.log(mean) - variance / 2, Math.sqrt(variance));
    }

    /** The next time, in nanoseconds; above 0. */
    public long next() {
        return sampler == null ? mean : Math.max(1, (long) sampler.sample());
    }
}
