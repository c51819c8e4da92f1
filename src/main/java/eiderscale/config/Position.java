package eiderscale.config;

/** Where something stands in a text; lines and columns count from 1. */
public record Position(int line, int column) {
    static final Position START = new Position(1, 1);
}
