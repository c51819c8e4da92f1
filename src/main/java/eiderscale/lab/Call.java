package eiderscale.lab;

/** One request of a client as it goes over the wires; a client's retry is another one of the same operation. */
final class Call implements Auditor.Subject {
    final long id;
    /** What the client wants done: unsafe ones must run once, however many calls there are. */
    final Operation operation;
    final int requestClass;
    final int tenant;
    final long key;
    final boolean write;
    final LabBalancer balancer;
    /** When its client sent it, and until when that one waits. */
    final long sentAt;
    final long deadline;
    boolean answered;
    /** The end of its client's wait. */
    Events.Event timeUp;
    /** What its balancer knows of it; null before it has come and after its answer. */
    LabBalancer.Asked asked;
    /** What it goes over; null where connections are not played, and while it waits for one. */
    Door.Wire wire;

    Call(long id, Operation operation, LabBalancer balancer, long sentAt, long deadline) {
        this.id = id;
        this.operation = operation;
        this.requestClass = operation.requestClass;
        this.tenant = operation.tenant;
        this.key = operation.key;
        this.write = operation.write;
        this.balancer = balancer;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    @Override
    public long id() {
        return id;
    }

    @Override
    public long key() {
        return key;
    }

    @Override
    public int requestClass() {
        return requestClass;
    }

    @Override
    public boolean write() {
        return write;
    }

    @Override
    public long deadline() {
        return deadline;
    }

    @Override
    public int balancer() {
        return balancer.number;
    }

    @Override
    public boolean isAnswered() {
        return answered;
    }

    @Override
    public Auditor.Effect effect() {
        return operation;
    }

    /** What a client wants, over all its tries; what the auditor knows of it goes with the last that knows it. */
    static final class Operation extends Auditor.Effect {
        final int requestClass;
        final int tenant;
        final long key;
        final boolean write;
        final long begunAt;
        int tries;
        boolean over;
        /** The end of its time, while it waits to try again. */
        Events.Event timeUp;

        Operation(long number, int requestClass, int tenant, long key, boolean write, long begunAt) {
            super(number);
            this.requestClass = requestClass;
            this.tenant = tenant;
            this.key = key;
            this.write = write;
            this.begunAt = begunAt;
        }
    }
}
