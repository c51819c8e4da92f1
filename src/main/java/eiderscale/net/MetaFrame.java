package eiderscale.net;

import java.util.List;

/**
 * One line of the meta protocol with its data block, in either direction. Where {@code fault} is set the
 * line broke the protocol and {@code fault} is what its sender should be told.
 */
record MetaFrame(List<String> words, byte[] data, String fault) {
    /** Values may hold so many bytes. */
    static final int MOST_VALUE = 64 * 1024;

    static MetaFrame fault(String answer) {
        return new MetaFrame(List.of(), null, answer);
    }

    boolean is(int at, String word) {
        return at < words.size() && words.get(at).equals(word);
    }

    /** The token of a flag behind the first {@code from} words, without its letter; null if absent. */
    String flag(int from, char letter) {
        for (int i = from; i < words.size(); i++) {
            if (words.get(i).charAt(0) == letter) {
                return words.get(i).substring(1);
            }
        }
        return null;
    }
}
