package eiderscale.plan;

/**
 * Waits for one of several places that work side by side. Formulas: Erlang's for a limited line (M/M/c/K), the mean field of
 * hosts that are chosen by the shorter of two lines a part of the time (Mitzenmacher, 2001; Peres, Talwar and Wieder's 1+beta
 * choice, 2010), and Allen and Cunneen's factor (1 + cv^2) / 2 for times that are not exponential.
 *
 * @param all the part of arrivals that find all places taken
 * @param mean the mean wait, in seconds, of those that are let in
 * @param refused the part that finds the line full too
 */
record Waiting(double all, double mean, double refused) {
    private static final int MOST_LEVELS = 4000;

    /** One line before {@code places}. {@code rate}: arrivals a second; {@code work}: mean seconds in a place. */
    static Waiting central(double rate, double work, double cv, int places, int queue) {
        if (rate <= 0) {
            return new Waiting(0, 0, 0);
        }
        double load = rate * work;
        // From the state with all places taken outwards, so that nothing overflows.
        double up = 1;
        double waiting = 0;
        double weighted = 0;
        double full = 1;
        int depth = Math.min(queue, MOST_LEVELS);
        for (int i = 1; i <= depth; i++) {
            up *= load / places;
            if (up > 1e200) {
                return new Waiting(1, queue * work / places, Math.max(0, 1 - places / load));
            }
            waiting += up;
            weighted += i * up;
            full = up;
        }
        double below = 0;
        double down = 1;
        for (int i = places; i > 0; i--) {
            down *= i / load;
            below += down;
        }
        double sum = 1 + waiting + below;
        double refused = (depth == 0 ? 1 : full) / sum;
        double taken = rate * (1 - refused);
        return new Waiting((1 + waiting) / sum, weighted / sum / taken * (1 + cv * cv) / 2, refused);
    }

    /**
     * A host of many alike. {@code seen}: the part of arrivals that go to the shorter of two lines; the others go to either.
     * At a load of 1 and beyond the line is full: what is refused is what cannot be done.
     */
    static Waiting chosen(double rate, double work, double cv, int places, int queue, double seen) {
        double load = rate * work / places;
        if (rate <= 0) {
            return new Waiting(0, 0, 0);
        }
        if (load >= 0.999) {
            return new Waiting(1, queue * work / places, Math.max(0, 1 - 1 / load));
        }
        double low = 0;
        double high = 1;
        // The part of hosts whose places are all taken is what makes the part that has none or more come out as 1.
        for (int i = 0; i < 50; i++) {
            double middle = (low + high) / 2;
            if (empty(middle, load * places, places, seen) > 1) {
                high = middle;
            } else {
                low = middle;
            }
        }
        double taken = low;
        double level = taken;
        double waiting = 0;
        for (int i = 0; i < queue && level > 1e-12; i++) {
            level = load * choice(level, seen);
            waiting += level;
        }
        return new Waiting(choice(taken, seen), waiting / rate * (1 + cv * cv) / 2, choice(level, seen) < 1e-9 ? 0 : choice(level, seen));
    }

    /** The part of hosts with any or none at work, were that with all places taken {@code all}. */
    private static double empty(double all, double load, int places, double seen) {
        double above = 0;
        double level = all;
        for (int k = places; k >= 1; k--) {
            double flow = (k * level + above) / load;
            above += level;
            level = unchoice(flow, seen);
        }
        return level;
    }

    /** The part of arrivals that find a level, where this part of hosts has it. */
    private static double choice(double part, double seen) {
        return seen * part * part + (1 - seen) * part;
    }

    private static double unchoice(double flow, double seen) {
        if (seen <= 0) {
            return flow;
        }
        double b = 1 - seen;
        return (-b + Math.sqrt(b * b + 4 * seen * flow)) / (2 * seen);
    }
}
