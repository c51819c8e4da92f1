package eiderscale.meta;

import eiderscale.Api;
import eiderscale.net.Answer;
import eiderscale.net.Incoming;
import io.netty.channel.Channel;

/** An answer whose value is too long to be held: its line, and the value as it comes. */
final class MetaValue extends Incoming implements Answer {
    final MetaFrame frame;

    MetaValue(MetaFrame frame, Channel host) {
        super(host);
        this.frame = frame;
    }

    @Override
    public String loadReport() {
        return frame.loadReport();
    }

    @Override
    public Api.Lookup lookup() {
        return frame.lookup();
    }
}
